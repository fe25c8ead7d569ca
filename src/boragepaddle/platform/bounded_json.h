#ifndef BORAGEPADDLE_PLATFORM_BOUNDED_JSON_H_
#define BORAGEPADDLE_PLATFORM_BOUNDED_JSON_H_

#include <nlohmann/json.hpp>

#include "absl/strings/string_view.h"

namespace boragepaddle::platform {

/// Parses a JSON object that anybody may have written. Returns null if the text
/// is no JSON object or is nested more deeply than any document of the
/// platform.
nlohmann::json ParseBoundedObject(absl::string_view text);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_BOUNDED_JSON_H_
