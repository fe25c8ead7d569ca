#include "boragepaddle/membership/change_log.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::membership {
namespace {

// At one configuration change in 4 s, 256 records cover 17 minutes; a node that
// is further behind fetches the full content.
constexpr size_t kMaxRecords = 256;
constexpr size_t kMaxNames = 4096;

}  // namespace

void Append(ChangeLog& log, ChangeRecord record) {
  log.name_count += record.names.size();
  log.records.push_back(std::move(record));
  while (log.records.size() > kMaxRecords || log.name_count > kMaxNames) {
    log.name_count -= log.records.front().names.size();
    log.records.pop_front();
  }
}

std::optional<std::vector<std::string>> NamesSince(const ChangeLog& log,
                                                   uint64_t version) {
  if (log.records.empty() || version < log.records.front().from_version) {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (const ChangeRecord& record : log.records) {
    if (record.to_version > version) {
      names.insert(names.end(), record.names.begin(), record.names.end());
    }
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace boragepaddle::membership
