#include "boragepaddle/platform/bounded_json.h"

namespace boragepaddle::platform {

namespace {

/// The configuration has five levels.
constexpr int kMaxDepth = 16;

}  // namespace

// Copies of a deeply nested value recurse once per level, so such a value must
// not be built. Documents of a foreign shape are discarded as a whole.
nlohmann::json ParseBoundedObject(absl::string_view text) {
  bool is_too_deep = false;
  nlohmann::json parsed = nlohmann::json::parse(
      text.begin(), text.end(),
      [&is_too_deep](int depth, nlohmann::json::parse_event_t /*event*/,
                     nlohmann::json& /*value*/) {
        is_too_deep |= depth > kMaxDepth;
        return depth <= kMaxDepth;
      },
      /*allow_exceptions=*/false);
  if (is_too_deep || !parsed.is_object()) {
    return nlohmann::json();
  }
  return parsed;
}

}  // namespace boragepaddle::platform
