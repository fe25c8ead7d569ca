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

/// One end of a proxied connection. Fields that are not known are empty.
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

/// A rule for all connections that match; empty fields match anything.
struct LinkRule {
  LinkEndpoint from;
  LinkEndpoint to;
  LinkScope between = LinkScope::kAny;
  /// Also matches connections in the opposite direction.
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

/// Reads a list of rules, as described in docs/emulator.md.
boragepaddle::base::Result<std::vector<LinkRule>, LinkRuleError> ParseLinkRules(
    const nlohmann::json& json);

bool Matches(const LinkRule& rule,
             const LinkEndpoint& from,
             const LinkEndpoint& to);

/// Effect of all matching rules; a later rule overrides an
/// earlier one in the settings that it names.
LinkEffect CombinedEffect(absl::Span<const LinkRule> rules,
                          const LinkEndpoint& from,
                          const LinkEndpoint& to);

}  // namespace emulator

#endif  // EMULATOR_LINK_RULES_H_
