#include "boragepaddle/feed/replica.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::feed {

namespace {

uint64_t HashOf(const schema::KeyValue& item) {
  return base::StableHash({item.key, absl::StrCat(item.revision)});
}

void Forget(Replica& replica, const std::string& key) {
  const auto found = replica.items.find(key);
  if (found != replica.items.end()) {
    replica.digest ^= HashOf(found->second);
    replica.items.erase(found);
  }
}

void NoteRemoval(Replica& replica, const schema::KeyValue& removal) {
  replica.removals.push_back(removal);
  replica.removed_at[removal.key] = removal.revision;
  while (replica.removals.size() > replica.max_removals) {
    const schema::KeyValue& oldest = replica.removals.front();
    const auto found = replica.removed_at.find(oldest.key);
    if (found != replica.removed_at.end() && found->second == oldest.revision) {
      replica.removed_at.erase(found);
    }
    replica.removals.pop_front();
  }
}

bool IsNewer(const Replica& replica, const schema::KeyValue& change) {
  const auto known = replica.items.find(change.key);
  if (known != replica.items.end()) {
    return change.revision > known->second.revision;
  }
  const auto removed = replica.removed_at.find(change.key);
  return removed == replica.removed_at.end() ||
         change.revision > removed->second;
}

bool ApplyChange(Replica& replica, const schema::KeyValue& change) {
  if (!IsNewer(replica, change)) {
    return false;
  }
  const bool known = replica.items.contains(change.key);
  Forget(replica, change.key);
  if (change.removed) {
    NoteRemoval(replica, change);
    return known;
  }
  replica.digest ^= HashOf(change);
  replica.items[change.key] = change;
  return true;
}

/// Removals of the keys that the page lacks.
std::vector<schema::KeyValue> VanishedKeys(const Replica& replica,
                                           const ReplicaPage& page) {
  absl::flat_hash_set<std::string> present;
  for (const schema::KeyValue& item : page.items) {
    present.insert(item.key);
  }
  std::vector<schema::KeyValue> vanished;
  for (const auto& [key, item] : replica.items) {
    if (!present.contains(key) && item.revision <= page.to) {
      vanished.push_back({key, "", page.to, true});
    }
  }
  return vanished;
}

}  // namespace

PageResult ApplyPage(Replica& replica, ReplicaPage page) {
  PageResult result;
  if (page.to < replica.revision) {
    result.fault = PageFault::kOlder;
    return result;
  }
  if (!page.whole && page.from > replica.revision) {
    result.fault = PageFault::kGap;
    return result;
  }
  if (page.whole) {
    for (schema::KeyValue& removal : VanishedKeys(replica, page)) {
      page.items.push_back(std::move(removal));
    }
  }
  for (schema::KeyValue& item : page.items) {
    if (ApplyChange(replica, item)) {
      result.changes.push_back(std::move(item));
    }
  }
  replica.revision = page.to;
  return result;
}

ReplicaPage PageAfter(const Replica& replica, uint64_t revision) {
  ReplicaPage page;
  page.from = revision;
  page.to = replica.revision;
  for (const schema::KeyValue& removal : replica.removals) {
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

ReplicaPage WholePage(const Replica& replica) {
  ReplicaPage page;
  page.to = replica.revision;
  page.whole = true;
  for (const auto& [key, item] : replica.items) {
    page.items.push_back(item);
  }
  return page;
}

}  // namespace boragepaddle::feed
