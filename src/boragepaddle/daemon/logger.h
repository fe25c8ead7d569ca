#ifndef BORAGEPADDLE_DAEMON_LOGGER_H_
#define BORAGEPADDLE_DAEMON_LOGGER_H_

#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::daemon {

/// Sets up log output on standard error with the lowest level to be logged.
void InitLogging(absl::string_view level);

/// Writes log lines of one component, each with the component name as prefix.
class Logger {
 public:
  explicit Logger(absl::string_view part);

  void Debug(absl::string_view message) const;
  void Info(absl::string_view message) const;
  void Warn(absl::string_view message) const;
  void Error(absl::string_view message) const;

 private:
  void Write(int level, absl::string_view message) const;

  std::string prefix;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_LOGGER_H_
