#ifndef BORAGEPADDLE_CTL_COMMAND_RESULT_H_
#define BORAGEPADDLE_CTL_COMMAND_RESULT_H_

#include <cstdint>
#include <string>

namespace boragepaddle::ctl {

/// Exit codes of boragepaddlectl; documented in docs/operators-config.md.
enum class ExitCode : uint8_t {
  kOk = 0,
  /// gflags ends the program with 1 at an unknown flag.
  kUsage = 1,
  /// The folder is refused, the folders differ, or the call has no rule.
  kNegativeResult = 2,
  /// A file or folder cannot be read.
  kUnreadable = 3,
  /// The node cannot be reached or does not answer in time.
  kUnreachable = 4,
  /// The node answered with an HTTP error or with something that is not JSON.
  kNodeError = 5,
};

/// What a command prints and how the program ends.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  /// For standard output; ends with a line break if it is not empty.
  std::string output;
  /// For standard error; ends with a line break if it is not empty.
  std::string error;
};

/// How results are printed.
enum class Format : uint8_t { kText, kJson };

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_COMMAND_RESULT_H_
