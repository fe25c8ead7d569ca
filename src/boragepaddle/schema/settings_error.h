#ifndef BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_
#define BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragepaddle::schema {

/// What is wrong with a key of a settings file.
enum class SettingsErrorCode : uint8_t {
  kSyntax,
  kMissingKey,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kUnknownValue,
  kBadAddress,
};

/// One fault in a settings file.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kSyntax;
  std::string file;
  /// Path of the key, such as `services[0].slots`.
  std::string path;
  /// Offending value as JSON text; empty if there is none.
  std::string value;
  /// What would be accepted.
  std::string expected;
};

using SettingsErrors = std::vector<SettingsError>;

/// Returns the name of the code.
const char* ToString(SettingsErrorCode code);

/// Formats the fault as one line: file, path, value, reason and expectation.
std::string Describe(const SettingsError& error);

}  // namespace boragepaddle::schema

#endif  // BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_
