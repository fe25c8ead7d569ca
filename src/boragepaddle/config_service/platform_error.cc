#include "boragepaddle/config_service/platform_error.h"

namespace boragepaddle::config_service {

absl::string_view ToString(PlatformErrorCode code) {
  switch (code) {
    case PlatformErrorCode::kUnreachable:
      return "unreachable";
    case PlatformErrorCode::kTimeout:
      return "timeout";
    case PlatformErrorCode::kBroken:
      return "broken";
    case PlatformErrorCode::kStatus:
      return "status";
    case PlatformErrorCode::kMalformed:
      return "malformed";
  }
  return "invalid";
}

}  // namespace boragepaddle::config_service
