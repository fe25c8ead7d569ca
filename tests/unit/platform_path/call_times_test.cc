#include "boragepaddle/admission/call_times.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace boragepaddle::admission {
namespace {

const absl::Time kStart = absl::UnixEpoch();

void RecordCalls(CallTimes& calls, uint32_t count, absl::Time now) {
  for (uint32_t index = 0; index < count; ++index) {
    RecordCallTime(calls, "read", "s1", absl::Milliseconds(100 + index), now);
  }
}

// Guards against a duration that is taken as known after one short call.
TEST_CASE("call times: the longest time is unknown with few calls") {
  CallTimes calls;
  RecordCalls(calls, calls.settings.min_calls - 1, kStart);
  CHECK(LongestCallTime(calls, "read", "s1", kStart) ==
        absl::InfiniteDuration());
  RecordCallTime(calls, "read", "s1", absl::Milliseconds(10), kStart);
  CHECK(LongestCallTime(calls, "read", "s1", kStart) ==
        absl::Milliseconds(106));
  CHECK(LongestCallTime(calls, "write", "s1", kStart) ==
        absl::InfiniteDuration());
}

// Guards against times of a service to which the route no longer leads.
TEST_CASE("call times: another service of the route starts anew") {
  CallTimes calls;
  RecordCalls(calls, 20, kStart);
  CHECK(LongestCallTime(calls, "read", "s2", kStart) ==
        absl::InfiniteDuration());
  RecordCallTime(calls, "read", "s2", absl::Seconds(1), kStart);
  CHECK(LongestCallTime(calls, "read", "s1", kStart) ==
        absl::InfiniteDuration());
}

TEST_CASE("call times: calls of more than two periods ago do not count") {
  CallTimes calls;
  RecordCalls(calls, 20, kStart);
  CHECK(LongestCallTime(calls, "read", "s1", kStart + absl::Seconds(29)) ==
        absl::Milliseconds(119));
  CHECK(LongestCallTime(calls, "read", "s1", kStart + absl::Seconds(31)) ==
        absl::InfiniteDuration());
}

// Guards against memory that grows with each configuration.
TEST_CASE("call times: the number of routes is bounded") {
  CallTimes calls;
  calls.settings.max_routes = 10;
  for (int index = 0; index < 20; ++index) {
    RecordCallTime(calls, absl::StrCat("route", index), "s1", absl::Seconds(1),
                   kStart);
  }
  CHECK(calls.routes.size() == 10);
  RecordCallTime(calls, "new", "s1", absl::Seconds(1),
                 kStart + absl::Minutes(1));
  CHECK(calls.routes.size() == 1);
}

}  // namespace
}  // namespace boragepaddle::admission
