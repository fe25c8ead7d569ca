#ifndef EMULATOR_EXECUTION_LOG_H_
#define EMULATOR_EXECUTION_LOG_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/sharded.h"

namespace emulator {

/// Executions of one operation with one request key.
struct ExecutionCount {
  uint32_t started = 0;
  uint32_t finished = 0;
  uint32_t cancelled = 0;
  /// Service time spent, without child calls.
  absl::Duration busy;
};

/// Counts executions by operation and request key. With a journal file, each
/// event is also appended to the file and flushed at once, so that it survives
/// a crash of the process.
class ExecutionLog {
 public:
  /// With an empty path, the log is kept in memory only.
  explicit ExecutionLog(const std::string& journal_path);
  ~ExecutionLog();
  ExecutionLog(const ExecutionLog&) = delete;
  ExecutionLog& operator=(const ExecutionLog&) = delete;

  void OnStarted(absl::string_view operation, absl::string_view key);
  void OnFinished(absl::string_view operation,
                  absl::string_view key,
                  absl::Duration busy);
  void OnCancelled(absl::string_view operation,
                   absl::string_view key,
                   absl::Duration busy);

  /// {operation: {key: {"started", "finished", "cancelled", "busy_ms"}}}
  std::string ToJson();

  void Clear();

 private:
  using Key = std::pair<std::string, std::string>;
  using Counts = absl::flat_hash_map<Key, ExecutionCount>;

  void AppendToJournal(char event, const Key& key);

  boragepaddle::base::Sharded<Counts> counts;
  std::FILE* journal = nullptr;
};

}  // namespace emulator

#endif  // EMULATOR_EXECUTION_LOG_H_
