#ifndef BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_
#define BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_

#include <cstdint>
#include <string>
#include <vector>

namespace boragepaddle::schema {

/// Kind of an error in a settings file.
enum class SettingsErrorCode : uint8_t {
  kSyntax,
  kMissingKey,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kUnknownValue,
  kBadAddress,
};

/// One error in a settings file.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kSyntax;
  std::string file;
  /// Path of the key, such as `services[0].slots`.
  std::string path;
  /// Offending value as JSON text; empty if there is none.
  std::string value;
  /// Description of the values that are accepted.
  std::string expected;
};

using SettingsErrors = std::vector<SettingsError>;

/// Returns the text of the code, as it is printed in error lines.
const char* ToString(SettingsErrorCode code);

/// Formats the error as one line: file, path, kind, value, accepted values.
std::string Describe(const SettingsError& error);

}  // namespace boragepaddle::schema

#endif  // BORAGEPADDLE_SCHEMA_SETTINGS_ERROR_H_
