#ifndef BORAGEPADDLE_PLATFORM_WIRE_NAMES_H_
#define BORAGEPADDLE_PLATFORM_WIRE_NAMES_H_

#include "boragepaddle/proxy/dialect.h"

namespace boragepaddle::platform {

/// Header fields and paths of the users' platform.
proxy::HttpDialect MakeHttpDialect();

/// Keys and documents of the platform's store.
proxy::StoreDialect MakeStoreDialect();

/// Environment variable that holds the path of the settings file.
inline constexpr char kSettingsEnvVariable[] = "BORAGEPADDLE_CONFIG";

/// Path of the settings file if the variable is not set.
inline constexpr char kDefaultSettingsPath[] = "/etc/boragepaddle/boot.conf";

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_WIRE_NAMES_H_
