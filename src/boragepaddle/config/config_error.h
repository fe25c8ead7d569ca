#ifndef BORAGEPADDLE_CONFIG_CONFIG_ERROR_H_
#define BORAGEPADDLE_CONFIG_CONFIG_ERROR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace boragepaddle::config {

/// Why a configuration folder, or a version of it, is refused.
enum class ConfigErrorCode : uint8_t {
  kInvalidFile,
  kDuplicateMember,
  kBadName,
  kBadApproval,
  kApprovalGap,
  kDuplicateService,
  kForeignService,
  kDuplicateOperation,
  kBadCallTarget,
  kUnknownService,
  kUnknownOperation,
  kCallCycle,
  kCallTooDeep,
  kContradiction,
  kUnsafeRetry,
  kVersionConflict,
  kDigestMismatch,
};

/// One error, with its location and how to correct it.
struct ConfigError {
  ConfigErrorCode code = ConfigErrorCode::kInvalidFile;
  std::string file;
  /// Path of the key, such as `services[0].operations[1].calls[0]`.
  std::string path;
  std::string value;
  std::string reason;
  std::string correction;
};

using ConfigErrors = std::vector<ConfigError>;

/// Returns the name of the code, such as `call-cycle`.
absl::string_view ToString(ConfigErrorCode code);

/// Formats the error as one line: file, path, code, value, reason, correction.
std::string Describe(const ConfigError& error);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_CONFIG_ERROR_H_
