#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "emulator/delayed_pipe.h"
#include "emulator/link_rules.h"

namespace emulator {
namespace {

const LinkEnd kTamsui = {"lending-0", "tamsui", "tw-north"};
const LinkEnd kBanqiao = {"lending-1", "banqiao", "tw-north"};
const LinkEnd kWestport = {"ledger-0", "westport", "salish-coast"};

std::vector<LinkRule> Rules(const char* text) {
  auto rules = ReadRules(nlohmann::json::parse(text));
  REQUIRE(rules.has_value());
  return std::move(rules).value();
}

// Guards against a partition rule that takes away the latency.
TEST_CASE("a later rule overrides only the settings that it names") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 0.5},
      {"from_zone": "tamsui", "black_hole": true, "direction": "to_target"}])");
  const LinkEffect effect = EffectFor(rules, kTamsui, kBanqiao);
  CHECK(effect.to_target.delay == absl::Microseconds(500));
  CHECK(effect.to_target.black_hole);
  CHECK_FALSE(effect.to_source.black_hole);
}

// Guards against a partition that only one side notices.
TEST_CASE("a rule for both ways matches either opener") {
  const auto rules = Rules(
      R"([{"from_zone": "tamsui", "to_zone": "banqiao", "both_ways": true,
           "cut": true}])");
  CHECK(EffectFor(rules, kTamsui, kBanqiao).cut);
  CHECK(EffectFor(rules, kBanqiao, kTamsui).cut);
  CHECK_FALSE(EffectFor(rules, kTamsui, kWestport).cut);
}

TEST_CASE("zones of different regions are not between zones") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 1}])");
  CHECK(EffectFor(rules, kTamsui, kWestport).to_target.delay ==
        absl::ZeroDuration());
  CHECK(EffectFor(rules, kTamsui, kTamsui).to_target.delay ==
        absl::ZeroDuration());
}

TEST_CASE("unknown values of a rule are refused") {
  CHECK(
      ReadRules(nlohmann::json::parse(R"([{"between": "planets"}])")).error() ==
      LinkRuleError::kUnknownValue);
  CHECK(ReadRules(nlohmann::json::parse(R"([{"delay_ms": "x"}])")).error() ==
        LinkRuleError::kWrongType);
}

// Guards against bytes that overtake others when the delay is lowered.
TEST_CASE("a pipe keeps the order when the delay falls") {
  const absl::Time now = absl::UnixEpoch();
  DelayedPipe pipe;
  pipe.Push("slow", {absl::Seconds(1), 0, false}, now);
  pipe.Push("fast", {}, now);
  CHECK(pipe.Due(now).empty());
  CHECK(pipe.Due(now + absl::Seconds(1)) == "slow");
  pipe.Consume(4);
  CHECK(pipe.Due(now + absl::Seconds(1)) == "fast");
}

// Guards against an end that is delivered before the last bytes.
TEST_CASE("the end of a pipe comes after its bytes") {
  const absl::Time now = absl::UnixEpoch();
  DelayedPipe pipe;
  pipe.Push("last", {}, now);
  pipe.PushEnd({}, now);
  CHECK_FALSE(pipe.EndIsDue(now));
  pipe.Consume(2);
  CHECK(pipe.Due(now) == "st");
  pipe.Consume(2);
  CHECK(pipe.EndIsDue(now));
}

}  // namespace
}  // namespace emulator
