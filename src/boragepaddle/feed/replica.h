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
  /// Last tombstones, oldest first, and their revisions by key.
  std::deque<schema::KeyValue> tombstones;
  absl::flat_hash_map<std::string, uint64_t> tombstone_revisions;
  /// Removals that are kept; more than a fleet_size has during any read.
  size_t max_tombstones = 4096;
};

/// Changes between two revisions, or all items as of a revision.
struct ReplicaUpdate {
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  /// Keys that are not among the items no longer exist.
  bool is_snapshot = false;
  std::vector<schema::KeyValue> items;
};

enum class UpdateError : uint8_t {
  kNone,
  /// The copy is already newer.
  kOutdated,
  /// Changes between the copy and the page are missing.
  kGap,
};

struct UpdateResult {
  UpdateError error = UpdateError::kNone;
  /// What the page changed, tombstones included.
  std::vector<schema::KeyValue> changes;
};

/// Applies a page. Items never go back to an older revision, whatever the
/// order of the pages.
UpdateResult ApplyUpdate(Replica& replica, ReplicaUpdate page);

/// Changes after the revision, as far as they are kept. A receiver that lacks
/// more notices it by the digest.
ReplicaUpdate ChangesAfter(const Replica& replica, uint64_t revision);

/// All items.
ReplicaUpdate FullSnapshot(const Replica& replica);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_REPLICA_H_
