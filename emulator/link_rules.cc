#include "emulator/link_rules.h"

namespace emulator {
namespace {

bool FieldMatches(const std::string& pattern, const std::string& value) {
  return pattern.empty() || pattern == value;
}

bool EndpointMatches(const LinkEndpoint& pattern, const LinkEndpoint& end) {
  return FieldMatches(pattern.vm_id, end.vm_id) &&
         FieldMatches(pattern.zone, end.zone) &&
         FieldMatches(pattern.region, end.region);
}

bool ScopeMatches(LinkScope reach,
                  const LinkEndpoint& from,
                  const LinkEndpoint& to) {
  switch (reach) {
    case LinkScope::kAny:
      return true;
    case LinkScope::kCrossZone:
      return from.region == to.region && from.zone != to.zone;
    case LinkScope::kCrossRegion:
      return from.region != to.region;
  }
  return false;
}

LinkEndpoint ParseEndpoint(const nlohmann::json& json,
                           const std::string& prefix) {
  return {json.value(prefix + "_vm", ""), json.value(prefix + "_zone", ""),
          json.value(prefix + "_region", "")};
}

bool ParseScope(const nlohmann::json& json, LinkScope* reach) {
  const std::string name = json.value("between", "any");
  if (name == "zones") {
    *reach = LinkScope::kCrossZone;
  } else if (name == "regions") {
    *reach = LinkScope::kCrossRegion;
  } else if (name == "any") {
    *reach = LinkScope::kAny;
  } else {
    return false;
  }
  return true;
}

DirectionEffect ParseDirectionEffect(const nlohmann::json& json) {
  DirectionEffect effect;
  effect.delay = absl::Milliseconds(json.value("delay_ms", 0.0));
  effect.bandwidth = json.value("bandwidth", int64_t{0});
  effect.black_hole = json.value("black_hole", false);
  return effect;
}

bool ParseLinkRule(const nlohmann::json& json, LinkRule* rule) {
  rule->from = ParseEndpoint(json, "from");
  rule->to = ParseEndpoint(json, "to");
  rule->both_ways = json.value("both_ways", false);
  rule->cut = json.value("cut", false);
  rule->sets_delay = json.contains("delay_ms");
  rule->sets_bandwidth = json.contains("bandwidth");
  rule->sets_black_hole = json.contains("black_hole");
  const std::string direction = json.value("direction", "both");
  if (direction != "both" && direction != "to_target" &&
      direction != "to_source") {
    return false;
  }
  rule->to_target = direction != "to_source";
  rule->to_source = direction != "to_target";
  rule->effect = ParseDirectionEffect(json);
  return ParseScope(json, &rule->between);
}

void Override(const LinkRule& rule, DirectionEffect* to) {
  if (rule.sets_delay) {
    to->delay = rule.effect.delay;
  }
  if (rule.sets_bandwidth) {
    to->bandwidth = rule.effect.bandwidth;
  }
  if (rule.sets_black_hole) {
    to->black_hole = rule.effect.black_hole;
  }
}

}  // namespace

absl::string_view ToString(LinkRuleError error) {
  switch (error) {
    case LinkRuleError::kNotAList:
      return "rules is not a list";
    case LinkRuleError::kWrongType:
      return "a value has the wrong type";
    case LinkRuleError::kUnknownValue:
      return "between or direction has an unknown value";
  }
  return "";
}

boragepaddle::base::Result<std::vector<LinkRule>, LinkRuleError> ParseLinkRules(
    const nlohmann::json& json) {
  if (!json.is_array()) {
    return LinkRuleError::kNotAList;
  }
  std::vector<LinkRule> rules;
  try {
    for (const nlohmann::json& item : json) {
      if (!ParseLinkRule(item, &rules.emplace_back())) {
        return LinkRuleError::kUnknownValue;
      }
    }
  } catch (const nlohmann::json::exception&) {
    return LinkRuleError::kWrongType;
  }
  return rules;
}

bool Matches(const LinkRule& rule,
             const LinkEndpoint& from,
             const LinkEndpoint& to) {
  if (!ScopeMatches(rule.between, from, to)) {
    return false;
  }
  const bool forward =
      EndpointMatches(rule.from, from) && EndpointMatches(rule.to, to);
  const bool reverse =
      EndpointMatches(rule.from, to) && EndpointMatches(rule.to, from);
  return forward || (rule.both_ways && reverse);
}

LinkEffect CombinedEffect(absl::Span<const LinkRule> rules,
                          const LinkEndpoint& from,
                          const LinkEndpoint& to) {
  LinkEffect effect;
  for (const LinkRule& rule : rules) {
    if (!Matches(rule, from, to)) {
      continue;
    }
    if (rule.to_target) {
      Override(rule, &effect.to_target);
    }
    if (rule.to_source) {
      Override(rule, &effect.to_source);
    }
    effect.cut = effect.cut || rule.cut;
  }
  return effect;
}

}  // namespace emulator
