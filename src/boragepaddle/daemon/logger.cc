#include "boragepaddle/daemon/logger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace boragepaddle::daemon {

void InitLogging(absl::string_view level) {
  // Never destroyed, since detached threads may log until the process exits.
  static auto* const initializer = new log4cplus::Initializer();
  (void)initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(/*logToStdErr=*/true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(
      log4cplus::getLogLevelManager().fromString(absl::AsciiStrToUpper(level)));
}

Logger::Logger(absl::string_view part)
    : prefix(absl::StrCat("[", part, "] ")) {}

void Logger::Debug(absl::string_view message) const {
  this->Write(log4cplus::DEBUG_LOG_LEVEL, message);
}

void Logger::Info(absl::string_view message) const {
  this->Write(log4cplus::INFO_LOG_LEVEL, message);
}

void Logger::Warn(absl::string_view message) const {
  this->Write(log4cplus::WARN_LOG_LEVEL, message);
}

void Logger::Error(absl::string_view message) const {
  this->Write(log4cplus::ERROR_LOG_LEVEL, message);
}

void Logger::Write(int level, absl::string_view message) const {
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  if (root.isEnabledFor(level)) {
    root.log(level, absl::StrCat(this->prefix, message));
  }
}

}  // namespace boragepaddle::daemon
