#include "boragepaddle/telemetry/event_log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <memory>

namespace boragepaddle::telemetry {

namespace {

/// A pipe that is ready for writing takes this many bytes without blocking.
constexpr size_t kMaxLineBytes = 4096;
constexpr absl::Duration kReportInterval = absl::Seconds(5);

std::atomic<uint64_t> dropped_lines{0};

/// Appends to standard output and drops lines instead of waiting.
class NonBlockingAppender : public log4cplus::Appender {
 public:
  ~NonBlockingAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string text = this->formatEvent(event);
    if (text.size() > kMaxLineBytes) {
      text.resize(kMaxLineBytes - 1);
      text.push_back('\n');
    }
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      ++dropped_lines;
    }
  }
};

}  // namespace

EventLog::EventLog(const EventLogSettings& settings) : settings(settings) {
  // Lives until the process ends.
  static auto* const initializer = new log4cplus::Initializer();
  (void)initializer;
  log4cplus::SharedAppenderPtr appender(new NonBlockingAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void EventLog::LogState(const LogLine& line) {
  this->Write(line.line());
}

void EventLog::LogFailedRequest(const LogLine& line, absl::Time now) {
  if (this->TryConsume(this->failed, this->settings.failed_per_s, now)) {
    this->Write(line.line());
  }
}

bool EventLog::ShouldLogServedRequest(absl::Time now) {
  return this->TryConsume(this->served, this->settings.served_per_s, now);
}

void EventLog::LogServedRequest(const LogLine& line) {
  this->Write(line.line());
}

bool EventLog::TryConsume(RateLimit& rate, uint32_t limit, absl::Time now) {
  this->ReportDroppedLines(now);
  const int64_t second = absl::ToUnixSeconds(now);
  if (rate.second != second) {
    rate.second = second;
    rate.used = 0;
  }
  if (rate.used >= limit) {
    ++rate.suppressed;
    return false;
  }
  ++rate.used;
  return true;
}

void EventLog::Write(const std::string& line) {
  log4cplus::Logger::getRoot().log(log4cplus::INFO_LOG_LEVEL, line);
}

void EventLog::ReportDroppedLines(absl::Time now) {
  this->dropped = dropped_lines.load();
  if (now - this->last_report < kReportInterval) {
    return;
  }
  this->last_report = now;
  if (this->failed.suppressed == 0 && this->served.suppressed == 0 &&
      this->dropped == this->dropped_reported) {
    return;
  }
  this->dropped_reported = this->dropped;
  this->Write(LogLine("log", "left_out")
                  .Add("failed", this->failed.suppressed)
                  .Add("served", this->served.suppressed)
                  .Add("pipe_full", this->dropped)
                  .line());
  this->failed.suppressed = 0;
  this->served.suppressed = 0;
}

}  // namespace boragepaddle::telemetry
