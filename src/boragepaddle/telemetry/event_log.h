#ifndef BORAGEPADDLE_TELEMETRY_EVENT_LOG_H_
#define BORAGEPADDLE_TELEMETRY_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace boragepaddle::telemetry {

/// Builds one log line of `key=value` pairs.
class LogLine {
 public:
  /// `component` is the prefix, `event` names what happened.
  LogLine(absl::string_view component, absl::string_view event)
      : text(absl::StrCat("[", component, "] event=", event)) {}

  template <typename Value>
  LogLine& Add(absl::string_view key, const Value& value) {
    absl::StrAppend(&this->text, " ", key, "=", value);
    return *this;
  }

  const std::string& line() const { return this->text; }

 private:
  std::string text;
};

/// Lines per second of each kind.
struct EventLogSettings {
  /// Lines on requests that were served.
  uint32_t served_per_s = 5;
  /// Lines on requests that failed.
  uint32_t failed_per_s = 300;
};

/// Writes lines to standard output and never blocks: a line that finds the
/// pipe full is dropped and counted. Lines on served requests have a small
/// rate of their own, so that they never take the place of a failed one.
class EventLog {
 public:
  explicit EventLog(const EventLogSettings& settings);

  /// LogState of the process or of a dependency; not limited.
  void LogState(const LogLine& line);
  /// A request that failed.
  void LogFailedRequest(const LogLine& line, absl::Time now);
  /// A request that was served. Cheap test first, then the line.
  bool ShouldLogServedRequest(absl::Time now);
  void LogServedRequest(const LogLine& line);

 private:
  struct RateLimit {
    int64_t second = 0;
    uint32_t used = 0;
    uint64_t suppressed = 0;
  };

  bool TryConsume(RateLimit& rate, uint32_t limit, absl::Time now);
  void Write(const std::string& line);
  void ReportDroppedLines(absl::Time now);

  EventLogSettings settings;
  RateLimit served;
  RateLimit failed;
  uint64_t dropped = 0;
  uint64_t dropped_reported = 0;
  absl::Time last_report = absl::InfinitePast();
};

}  // namespace boragepaddle::telemetry

#endif  // BORAGEPADDLE_TELEMETRY_EVENT_LOG_H_
