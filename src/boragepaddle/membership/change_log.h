#ifndef BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_
#define BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace boragepaddle::membership {

/// Names that changed between two consecutive versions held by this node.
struct ChangeRecord {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  std::vector<std::string> names;
};

/// Recent changes, used to compute deltas. Bounded in records and names.
struct ChangeLog {
  std::deque<ChangeRecord> records;
  size_t name_count = 0;
};

/// Appends a record and drops the oldest records beyond the limits.
void Append(ChangeLog& log, ChangeRecord record);

/// Names that may have changed since `version`, sorted and unique; nullopt if
/// the log does not reach back that far. If this node never held `version`, the
/// result may contain unchanged names, or miss an entry that existed only
/// between two held versions; the digest of the delta detects the latter.
std::optional<std::vector<std::string>> NamesSince(const ChangeLog& log,
                                                   uint64_t version);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_
