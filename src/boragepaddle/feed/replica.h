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

/// Local copy of a revisioned key-value store.
struct Replica {
  /// All changes up to this revision are applied; 0 if the copy is empty.
  uint64_t revision = 0;
  absl::btree_map<std::string, schema::KeyValue> items;
  /// Digest of the keys and revisions of all items; equal for copies with equal
  /// items.
  uint64_t digest = 0;
  /// Tombstones of the latest removals, oldest first, and their revisions by
  /// key.
  std::deque<schema::KeyValue> tombstones;
  absl::flat_hash_map<std::string, uint64_t> tombstone_revisions;
  /// Limit on tombstones; more than the removals of a fleet during any read.
  size_t max_tombstones = 4096;
};

/// Changes between two revisions, or a snapshot of all items at a revision.
struct ReplicaUpdate {
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  /// Snapshot: keys that are not among the items no longer exist.
  bool is_snapshot = false;
  std::vector<schema::KeyValue> items;
  /// Era of the store in which the update was read; 0 if unknown.
  uint64_t era = 0;
};

enum class UpdateError : uint8_t {
  kNone,
  /// The copy is newer than the update.
  kOutdated,
  /// Changes between the copy and the update are missing.
  kGap,
};

struct UpdateResult {
  UpdateError error = UpdateError::kNone;
  /// Items that the update changed, removals included.
  std::vector<schema::KeyValue> changes;
};

/// Applies an update. Items never return to an older revision, in whatever
/// order updates arrive.
UpdateResult ApplyUpdate(Replica& replica, ReplicaUpdate update);

/// Changes after the revision, as far as tombstones are retained. A receiver
/// that misses an older removal detects this by the digest.
ReplicaUpdate ChangesAfter(const Replica& replica, uint64_t revision);

ReplicaUpdate FullSnapshot(const Replica& replica);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_REPLICA_H_
