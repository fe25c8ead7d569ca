#include "emulator/link_rules.h"

namespace emulator {
namespace {

bool FieldMatches(const std::string& pattern, const std::string& value) {
  return pattern.empty() || pattern == value;
}

bool EndMatches(const LinkEnd& pattern, const LinkEnd& end) {
  return FieldMatches(pattern.vm_id, end.vm_id) &&
         FieldMatches(pattern.zone, end.zone) &&
         FieldMatches(pattern.region, end.region);
}

bool ReachMatches(Reach reach, const LinkEnd& from, const LinkEnd& to) {
  switch (reach) {
    case Reach::kAny:
      return true;
    case Reach::kZones:
      return from.region == to.region && from.zone != to.zone;
    case Reach::kRegions:
      return from.region != to.region;
  }
  return false;
}

LinkEnd ReadEnd(const nlohmann::json& json, const std::string& prefix) {
  return {json.value(prefix + "_vm", ""), json.value(prefix + "_zone", ""),
          json.value(prefix + "_region", "")};
}

bool ReadReach(const nlohmann::json& json, Reach* reach) {
  const std::string name = json.value("between", "any");
  if (name == "zones") {
    *reach = Reach::kZones;
  } else if (name == "regions") {
    *reach = Reach::kRegions;
  } else if (name == "any") {
    *reach = Reach::kAny;
  } else {
    return false;
  }
  return true;
}

DirectionEffect ReadDirection(const nlohmann::json& json) {
  DirectionEffect effect;
  effect.delay = absl::Milliseconds(json.value("delay_ms", 0.0));
  effect.bandwidth = json.value("bandwidth", int64_t{0});
  effect.black_hole = json.value("black_hole", false);
  return effect;
}

bool ReadRule(const nlohmann::json& json, LinkRule* rule) {
  rule->from = ReadEnd(json, "from");
  rule->to = ReadEnd(json, "to");
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
  rule->effect = ReadDirection(json);
  return ReadReach(json, &rule->between);
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

boragepaddle::base::Result<std::vector<LinkRule>, LinkRuleError> ReadRules(
    const nlohmann::json& json) {
  if (!json.is_array()) {
    return LinkRuleError::kNotAList;
  }
  std::vector<LinkRule> rules;
  try {
    for (const nlohmann::json& item : json) {
      if (!ReadRule(item, &rules.emplace_back())) {
        return LinkRuleError::kUnknownValue;
      }
    }
  } catch (const nlohmann::json::exception&) {
    return LinkRuleError::kWrongType;
  }
  return rules;
}

bool Matches(const LinkRule& rule, const LinkEnd& from, const LinkEnd& to) {
  if (!ReachMatches(rule.between, from, to)) {
    return false;
  }
  const bool forward = EndMatches(rule.from, from) && EndMatches(rule.to, to);
  const bool reverse = EndMatches(rule.from, to) && EndMatches(rule.to, from);
  return forward || (rule.both_ways && reverse);
}

LinkEffect EffectFor(absl::Span<const LinkRule> rules,
                     const LinkEnd& from,
                     const LinkEnd& to) {
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
