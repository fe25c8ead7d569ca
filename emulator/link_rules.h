#ifndef EMULATOR_LINK_RULES_H_
#define EMULATOR_LINK_RULES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/base/result.h"
#include "emulator/link_effect.h"

namespace emulator {

/// One endpoint of a proxied connection. Unknown fields are empty.
struct LinkEndpoint {
  std::string vm_id;
  std::string zone;
  std::string region;
};

enum class LinkScope : uint8_t {
  kAny,
  /// The zones differ and the regions are the same.
  kCrossZone,
  /// The regions differ.
  kCrossRegion,
};

/// Rule for all matching connections. Empty fields match any value.
struct LinkRule {
  LinkEndpoint from;
  LinkEndpoint to;
  LinkScope between = LinkScope::kAny;
  /// Also matches connections that were opened in the opposite direction.
  bool both_ways = false;
  bool to_target = true;
  bool to_source = true;
  bool cut = false;
  DirectionEffect effect;
  bool sets_delay = false;
  bool sets_bandwidth = false;
  bool sets_black_hole = false;
};

enum class LinkRuleError : uint8_t { kNotAList, kWrongType, kUnknownValue };

absl::string_view ToString(LinkRuleError error);

/// Parses a list of rules, as described in docs/emulator.md.
boragepaddle::base::Result<std::vector<LinkRule>, LinkRuleError> ParseLinkRules(
    const nlohmann::json& json);

bool Matches(const LinkRule& rule,
             const LinkEndpoint& from,
             const LinkEndpoint& to);

/// Combined effect of all matching rules. A later rule overrides the settings
/// of earlier ones that it also specifies.
LinkEffect CombinedEffect(absl::Span<const LinkRule> rules,
                          const LinkEndpoint& from,
                          const LinkEndpoint& to);

}  // namespace emulator

#endif  // EMULATOR_LINK_RULES_H_
