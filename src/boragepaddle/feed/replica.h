#ifndef BORAGEPADDLE_FEED_REPLICA_H_
#define BORAGEPADDLE_FEED_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::feed {

/// Copy of a revisioned key-value store as items were read.
struct Replica {
  /// All changes up to this revision are applied; 0 if nothing is known.
  uint64_t revision = 0;
  absl::btree_map<std::string, schema::KeyValue> items;
  /// Of the keys and revisions of all items; equal on nodes with equal items.
  uint64_t digest = 0;
  /// Last removals, oldest first, and their revisions by key.
  std::deque<schema::KeyValue> removals;
  absl::flat_hash_map<std::string, uint64_t> removed_at;
  /// Removals that are kept; more than a fleet has during any read.
  size_t max_removals = 4096;
};

/// Changes between two revisions, or all items as of a revision.
struct ReplicaPage {
  uint64_t from = 0;
  uint64_t to = 0;
  /// Keys that are not among the items no longer exist.
  bool whole = false;
  std::vector<schema::KeyValue> items;
};

enum class PageFault : uint8_t {
  kNone,
  /// The copy is already newer.
  kOlder,
  /// Changes between the copy and the page are missing.
  kGap,
};

struct PageResult {
  PageFault fault = PageFault::kNone;
  /// What the page changed, removals included.
  std::vector<schema::KeyValue> changes;
};

/// Applies a page. Items never go back to an older revision, whatever the
/// order of the pages.
PageResult ApplyPage(Replica& replica, ReplicaPage page);

/// Changes after the revision, as far as they are kept. A receiver that lacks
/// more notices it by the digest.
ReplicaPage PageAfter(const Replica& replica, uint64_t revision);

/// All items.
ReplicaPage WholePage(const Replica& replica);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_REPLICA_H_
