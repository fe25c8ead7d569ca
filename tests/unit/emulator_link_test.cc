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

// Guards against a partition rule that removes the latency set by an earlier
// rule.
TEST_CASE(
    "link rules: a later rule overrides only the settings that it specifies") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 0.5},
      {"from_zone": "tamsui", "black_hole": true, "direction": "to_target"}])");
  const LinkEffect effect = CombinedEffect(rules, kTamsui, kBanqiao);
  CHECK(effect.to_target.delay == absl::Microseconds(500));
  CHECK(effect.to_target.black_hole);
  CHECK_FALSE(effect.to_source.black_hole);
}

// Guards against a partition that affects only connections opened by one side.
TEST_CASE(
    "link rules: a bidirectional rule matches connections from either side") {
  const auto rules = Rules(
      R"([{"from_zone": "tamsui", "to_zone": "banqiao", "both_ways": true,
           "cut": true}])");
  CHECK(CombinedEffect(rules, kTamsui, kBanqiao).cut);
  CHECK(CombinedEffect(rules, kBanqiao, kTamsui).cut);
  CHECK_FALSE(CombinedEffect(rules, kTamsui, kWestport).cut);
}

TEST_CASE(
    "link rules: a cross-zone rule does not match zones of different regions") {
  const auto rules = Rules(R"([{"between": "zones", "delay_ms": 1}])");
  CHECK(CombinedEffect(rules, kTamsui, kWestport).to_target.delay ==
        absl::ZeroDuration());
  CHECK(CombinedEffect(rules, kTamsui, kTamsui).to_target.delay ==
        absl::ZeroDuration());
}

TEST_CASE("link rules: unknown values and wrong types are rejected") {
  CHECK(ParseLinkRules(nlohmann::json::parse(R"([{"between": "planets"}])"))
            .error() == LinkRuleError::kUnknownValue);
  CHECK(
      ParseLinkRules(nlohmann::json::parse(R"([{"delay_ms": "x"}])")).error() ==
      LinkRuleError::kWrongType);
}

// Guards against bytes that are reordered when the delay is lowered.
TEST_CASE("delayed pipe: keeps the order when the delay is lowered") {
  const absl::Time now = absl::UnixEpoch();
  DelayedPipe pipe;
  pipe.Push("slow", {absl::Seconds(1), 0, false}, now);
  pipe.Push("fast", {}, now);
  CHECK(pipe.DueBytes(now).empty());
  CHECK(pipe.DueBytes(now + absl::Seconds(1)) == "slow");
  pipe.Consume(4);
  CHECK(pipe.DueBytes(now + absl::Seconds(1)) == "fast");
}

// Guards against an end of stream that is delivered before the last bytes.
TEST_CASE("delayed pipe: the end of the stream is due only after all bytes") {
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
