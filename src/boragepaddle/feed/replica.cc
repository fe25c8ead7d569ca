#include "boragepaddle/feed/replica.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::feed {

namespace {

uint64_t HashItem(const schema::KeyValue& item) {
  return base::StableHash({item.key, absl::StrCat(item.revision)});
}

void EraseItem(Replica& replica, const std::string& key) {
  const auto found = replica.items.find(key);
  if (found != replica.items.end()) {
    replica.digest ^= HashItem(found->second);
    replica.items.erase(found);
  }
}

void RecordTombstone(Replica& replica, const schema::KeyValue& removal) {
  replica.tombstones.push_back(removal);
  replica.tombstone_revisions[removal.key] = removal.revision;
  while (replica.tombstones.size() > replica.max_tombstones) {
    const schema::KeyValue& oldest = replica.tombstones.front();
    const auto found = replica.tombstone_revisions.find(oldest.key);
    if (found != replica.tombstone_revisions.end() &&
        found->second == oldest.revision) {
      replica.tombstone_revisions.erase(found);
    }
    replica.tombstones.pop_front();
  }
}

bool IsNewer(const Replica& replica, const schema::KeyValue& change) {
  const auto known = replica.items.find(change.key);
  if (known != replica.items.end()) {
    return change.revision > known->second.revision;
  }
  const auto removed = replica.tombstone_revisions.find(change.key);
  return removed == replica.tombstone_revisions.end() ||
         change.revision > removed->second;
}

/// Returns false if this changes nothing.
bool StoreChange(Replica& replica, const schema::KeyValue& change) {
  const auto found = replica.items.find(change.key);
  const bool known = found != replica.items.end();
  if (known && found->second == change) {
    return false;
  }
  EraseItem(replica, change.key);
  if (change.removed) {
    RecordTombstone(replica, change);
    return known;
  }
  replica.digest ^= HashItem(change);
  replica.items[change.key] = change;
  return true;
}

/// Removals of the items that the snapshot lacks.
std::vector<schema::KeyValue> MissingKeyRemovals(const Replica& replica,
                                                 const ReplicaUpdate& update) {
  absl::flat_hash_set<std::string> present;
  for (const schema::KeyValue& item : update.items) {
    present.insert(item.key);
  }
  std::vector<schema::KeyValue> removals;
  for (const auto& [key, item] : replica.items) {
    const bool is_newer = replica.position.era == update.to.era &&
                          item.revision > update.to.revision;
    if (!present.contains(key) && !is_newer) {
      removals.push_back({key, "", update.to.revision, true});
    }
  }
  return removals;
}

}  // namespace

UpdateResult ApplyUpdate(Replica& replica, ReplicaUpdate update) {
  UpdateResult result;
  if (update.to < replica.position) {
    result.error = UpdateError::kOutdated;
    return result;
  }
  const bool changes_era = update.to.era != replica.position.era;
  if (!update.is_snapshot && (changes_era || update.from > replica.position)) {
    result.error = UpdateError::kGap;
    return result;
  }
  if (update.is_snapshot) {
    for (schema::KeyValue& removal : MissingKeyRemovals(replica, update)) {
      update.items.push_back(std::move(removal));
    }
  }
  if (changes_era) {
    // Their revisions are given out again.
    replica.tombstones.clear();
    replica.tombstone_revisions.clear();
  }
  for (schema::KeyValue& item : update.items) {
    if ((changes_era || IsNewer(replica, item)) && StoreChange(replica, item)) {
      result.changes.push_back(std::move(item));
    }
  }
  replica.position = update.to;
  return result;
}

ReplicaUpdate ChangesAfter(const Replica& replica,
                           const base::StorePosition& position) {
  if (position.era != replica.position.era) {
    return FullSnapshot(replica);
  }
  ReplicaUpdate update;
  update.from = position;
  update.to = replica.position;
  for (const schema::KeyValue& removal : replica.tombstones) {
    if (removal.revision > position.revision) {
      update.items.push_back(removal);
    }
  }
  for (const auto& [key, item] : replica.items) {
    if (item.revision > position.revision) {
      update.items.push_back(item);
    }
  }
  // A key that was removed and added again occurs twice, so order matters.
  std::stable_sort(update.items.begin(), update.items.end(),
                   [](const schema::KeyValue& a, const schema::KeyValue& b) {
                     return a.revision < b.revision;
                   });
  return update;
}

ReplicaUpdate FullSnapshot(const Replica& replica) {
  ReplicaUpdate update;
  update.to = replica.position;
  update.is_snapshot = true;
  for (const auto& [key, item] : replica.items) {
    update.items.push_back(item);
  }
  return update;
}

}  // namespace boragepaddle::feed
