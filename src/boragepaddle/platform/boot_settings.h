#ifndef BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_
#define BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/proxy/node_settings.h"

namespace boragepaddle::platform {

/// A key of the settings file that is missing or has no valid value.
struct BootSettingsError {
  std::string key;
  std::string value;
};

/// Settings and the keys for which a default was taken.
struct BootSettings {
  proxy::NodeSettings node;
  std::vector<std::string> defaulted;
};

/// Parses the platform's settings file: lines `a.b=value`, lists joined by
/// commas. Unknown keys are ignored.
base::Result<BootSettings, BootSettingsError> ParseBootSettings(
    absl::string_view text);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_BOOT_SETTINGS_H_
