#ifndef BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_
#define BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace boragepaddle::membership {

/// Names that changed with one step between two held versions.
struct ChangeRecord {
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  std::vector<std::string> names;
};

/// Recent changes, from which deltas are made. Bounded by records and names.
struct ChangeLog {
  std::deque<ChangeRecord> records;
  size_t name_count = 0;
};

/// Adds a step and drops the oldest steps beyond the bounds.
void Append(ChangeLog& log, ChangeRecord record);

/// Names that may differ between `version` and now, sorted and unique; nothing
/// if the log does not reach back that far. The version need not have been held
/// here: the result then holds more names than needed, or misses an entry that
/// came and went unseen, which the digest of the delta reveals.
std::optional<std::vector<std::string>> NamesSince(const ChangeLog& log,
                                                   uint64_t version);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_CHANGE_LOG_H_
