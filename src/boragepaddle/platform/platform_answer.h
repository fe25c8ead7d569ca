#ifndef BORAGEPADDLE_PLATFORM_PLATFORM_ANSWER_H_
#define BORAGEPADDLE_PLATFORM_PLATFORM_ANSWER_H_

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/node/control_event.h"
#include "boragepaddle/platform/platform_error.h"

namespace boragepaddle::platform {

/// Reads `{"revision": n, "files": {name: text}}`; never throws.
base::Result<node::PlatformConfig, PlatformError> ParseConfigAnswer(
    absl::string_view body);

/// Reads `{"revision": n, "vms": [...]}`; never throws. An entry without one of
/// the keys makes the whole answer malformed, because a VM that is left out by
/// mistake would get no work.
base::Result<node::PlatformList, PlatformError> ParseListAnswer(
    absl::string_view body);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_PLATFORM_ANSWER_H_
