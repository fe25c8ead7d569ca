#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "emulator/delayed_pipe.h"
#include "emulator/link_rules.h"

namespace emulator {
namespace {

const LinkEndpoint kTamsui = {"lending-0", "tamsui", "tw-north"};
const LinkEndpoint kBanqiao = {"lending-1", "banqiao", "tw-north"};
const LinkEndpoint kWestport = {"ledger-0", "westport", "salish-coast"};

std::vector<LinkRule> Rules(const char* text) {
  auto rules = ParseLinkRules(nlohmann::json::parse(text));
  REQUIRE(rules.has_value());
  return std::move(rules).value();
}

// Guards against a partition rule that takes away the latency.
TEST_CASE("a later rule overrides only the settings that it names") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 0.5},
      {"from_zone": "tamsui", "black_hole": true, "direction": "to_target"}])");
  const LinkEffect effect = CombinedEffect(rules, kTamsui, kBanqiao);
  CHECK(effect.to_target.delay == absl::Microseconds(500));
  CHECK(effect.to_target.black_hole);
  CHECK_FALSE(effect.to_source.black_hole);
}

// Guards against a partition that only one side notices.
TEST_CASE("a rule for both ways matches either opener") {
  const auto rules = Rules(
      R"([{"from_zone": "tamsui", "to_zone": "banqiao", "both_ways": true,
           "cut": true}])");
  CHECK(CombinedEffect(rules, kTamsui, kBanqiao).cut);
  CHECK(CombinedEffect(rules, kBanqiao, kTamsui).cut);
  CHECK_FALSE(CombinedEffect(rules, kTamsui, kWestport).cut);
}

TEST_CASE("zones of different regions are not between zones") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 1}])");
  CHECK(CombinedEffect(rules, kTamsui, kWestport).to_target.delay ==
        absl::ZeroDuration());
  CHECK(CombinedEffect(rules, kTamsui, kTamsui).to_target.delay ==
        absl::ZeroDuration());
}

TEST_CASE("unknown values of a rule are refused") {
  CHECK(ParseLinkRules(nlohmann::json::parse(R"([{"between": "planets"}])"))
            .error() == LinkRuleError::kUnknownValue);
  CHECK(
      ParseLinkRules(nlohmann::json::parse(R"([{"delay_ms": "x"}])")).error() ==
      LinkRuleError::kWrongType);
}

// Guards against bytes that overtake others when the delay is lowered.
TEST_CASE("a pipe keeps the order when the delay falls") {
  const absl::Time now = absl::UnixEpoch();
  DelayedPipe pipe;
  pipe.Push("slow", {absl::Seconds(1), 0, false}, now);
  pipe.Push("fast", {}, now);
  CHECK(pipe.DueBytes(now).empty());
  CHECK(pipe.DueBytes(now + absl::Seconds(1)) == "slow");
  pipe.Consume(4);
  CHECK(pipe.DueBytes(now + absl::Seconds(1)) == "fast");
}

// Guards against an end that is delivered before the last bytes.
TEST_CASE("the end of a pipe comes after its bytes") {
  const absl::Time now = absl::UnixEpoch();
  DelayedPipe pipe;
  pipe.Push("last", {}, now);
  pipe.PushEof({}, now);
  CHECK_FALSE(pipe.IsEofDue(now));
  pipe.Consume(2);
  CHECK(pipe.DueBytes(now) == "st");
  pipe.Consume(2);
  CHECK(pipe.IsEofDue(now));
}

}  // namespace
}  // namespace emulator
