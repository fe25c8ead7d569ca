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

bool ApplyChange(Replica& replica, const schema::KeyValue& change) {
  if (!IsNewer(replica, change)) {
    return false;
  }
  const bool known = replica.items.contains(change.key);
  EraseItem(replica, change.key);
  if (change.removed) {
    RecordTombstone(replica, change);
    return known;
  }
  replica.digest ^= HashItem(change);
  replica.items[change.key] = change;
  return true;
}

/// Removals of the keys that the page lacks.
std::vector<schema::KeyValue> MissingKeyRemovals(const Replica& replica,
                                                 const ReplicaUpdate& page) {
  absl::flat_hash_set<std::string> present;
  for (const schema::KeyValue& item : page.items) {
    present.insert(item.key);
  }
  std::vector<schema::KeyValue> vanished;
  for (const auto& [key, item] : replica.items) {
    if (!present.contains(key) && item.revision <= page.to_revision) {
      vanished.push_back({key, "", page.to_revision, true});
    }
  }
  return vanished;
}

}  // namespace

UpdateResult ApplyUpdate(Replica& replica, ReplicaUpdate page) {
  UpdateResult result;
  if (page.to_revision < replica.revision) {
    result.error = UpdateError::kOutdated;
    return result;
  }
  if (!page.is_snapshot && page.from_revision > replica.revision) {
    result.error = UpdateError::kGap;
    return result;
  }
  if (page.is_snapshot) {
    for (schema::KeyValue& removal : MissingKeyRemovals(replica, page)) {
      page.items.push_back(std::move(removal));
    }
  }
  for (schema::KeyValue& item : page.items) {
    if (ApplyChange(replica, item)) {
      result.changes.push_back(std::move(item));
    }
  }
  replica.revision = page.to_revision;
  return result;
}

ReplicaUpdate ChangesAfter(const Replica& replica, uint64_t revision) {
  ReplicaUpdate page;
  page.from_revision = revision;
  page.to_revision = replica.revision;
  for (const schema::KeyValue& removal : replica.tombstones) {
    if (removal.revision > revision) {
      page.items.push_back(removal);
    }
  }
  for (const auto& [key, item] : replica.items) {
    if (item.revision > revision) {
      page.items.push_back(item);
    }
  }
  // A key that was removed and came back stands in the list twice.
  std::stable_sort(page.items.begin(), page.items.end(),
                   [](const schema::KeyValue& a, const schema::KeyValue& b) {
                     return a.revision < b.revision;
                   });
  return page;
}

ReplicaUpdate FullSnapshot(const Replica& replica) {
  ReplicaUpdate page;
  page.to_revision = replica.revision;
  page.is_snapshot = true;
  for (const auto& [key, item] : replica.items) {
    page.items.push_back(item);
  }
  return page;
}

}  // namespace boragepaddle::feed
