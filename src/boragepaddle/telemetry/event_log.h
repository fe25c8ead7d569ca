#ifndef BORAGEPADDLE_TELEMETRY_EVENT_LOG_H_
#define BORAGEPADDLE_TELEMETRY_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace boragepaddle::telemetry {

/// Builds a log line of `key=value` pairs.
class LogLine {
 public:
  /// Starts the line with `[component] event=...`.
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

/// Rate limits of an EventLog, in lines per second.
struct EventLogSettings {
  /// Limit on lines about served requests.
  uint32_t served_per_s = 5;
  /// Limit on lines about failed requests.
  uint32_t failed_per_s = 300;
};

/// Writes log lines to standard output without blocking: if the pipe is full,
/// the line is dropped and counted. Lines about served requests have their own
/// rate limit, so that they cannot displace lines about failed requests.
class EventLog {
 public:
  explicit EventLog(const EventLogSettings& settings);

  /// Logs a state change of the process or of a dependency; not rate-limited.
  void LogState(const LogLine& line);
  /// Logs a failed request, subject to the rate limit.
  void LogFailedRequest(const LogLine& line, absl::Time now);
  /// Checks the rate limit and counts a line against it. Call this before
  /// building the line for LogServedRequest.
  bool ShouldLogServedRequest(absl::Time now);
  /// Logs a served request; not limited by itself.
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
