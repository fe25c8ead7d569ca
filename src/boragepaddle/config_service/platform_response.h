#ifndef BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_RESPONSE_H_
#define BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_RESPONSE_H_

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config_service/platform_error.h"
#include "boragepaddle/node/control_event.h"

namespace boragepaddle::config_service {

/// Reads `{"revision": n, "files": {name: text}}`; never throws.
base::Result<node::PlatformConfig, PlatformError> ParseConfigResponse(
    absl::string_view body);

/// Reads `{"revision": n, "vms": [...]}`; never throws. An entry without one of
/// the keys makes the whole answer malformed, because a VM that is left out by
/// mistake would get no work.
base::Result<node::PlatformList, PlatformError> ParseVmListResponse(
    absl::string_view body);

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_RESPONSE_H_
