#ifndef BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_
#define BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/proxy/node_settings.h"

namespace boragepaddle::platform {

/// A key of the settings file that is missing or has an invalid value.
struct BootSettingsError {
  std::string key;
  std::string value;
};

/// Parsed settings, and the keys for which the default is used.
struct BootSettings {
  proxy::NodeSettings node;
  std::vector<std::string> defaulted;
};

/// Parses the platform's settings file: one `a.b=value` per line, lists
/// separated by commas. Unknown keys are ignored.
base::Result<BootSettings, BootSettingsError> ParseBootSettings(
    absl::string_view text);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_
