#ifndef BORAGEPADDLE_CTL_COMMAND_RESULT_H_
#define BORAGEPADDLE_CTL_COMMAND_RESULT_H_

#include <cstdint>
#include <string>

namespace boragepaddle::ctl {

/// Exit codes of boragepaddlectl; documented in docs/operators-config.md.
enum class ExitCode : uint8_t {
  kOk = 0,
  /// gflags also exits with 1 on an unknown flag.
  kUsage = 1,
  /// The folder is refused, the folders differ, or no rule applies to the call.
  kNegativeResult = 2,
  /// A file or folder cannot be read.
  kUnreadable = 3,
  /// The node is unreachable or does not answer within the timeout.
  kUnreachable = 4,
  /// The node answered with an HTTP error or an invalid JSON document.
  kNodeError = 5,
};

/// Output and exit code of a command.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  /// Written to standard output; ends with a line break unless empty.
  std::string output;
  /// Written to standard error; ends with a line break unless empty.
  std::string error;
};

/// Output format.
enum class Format : uint8_t { kText, kJson };

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_COMMAND_RESULT_H_
