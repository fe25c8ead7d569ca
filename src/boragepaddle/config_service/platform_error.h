#ifndef BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_ERROR_H_
#define BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_ERROR_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace boragepaddle::config_service {

/// Why a request to the platform failed.
enum class PlatformErrorCode : uint8_t {
  kUnreachable,
  kTimeout,
  /// The connection was lost before the response was complete.
  kBroken,
  /// The HTTP status is not 200.
  kStatus,
  /// The body is not the expected JSON.
  kMalformed,
};

/// Failure of one read or watch request.
struct PlatformError {
  PlatformErrorCode code = PlatformErrorCode::kUnreachable;
  /// HTTP status; 0 if there is none.
  int http_status = 0;
};

/// Returns the name used in logs.
absl::string_view ToString(PlatformErrorCode code);

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_ERROR_H_
