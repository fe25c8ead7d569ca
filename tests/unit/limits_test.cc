#include "boragepaddle/limits/concurrency_limit.h"

#include <doctest/doctest.h>

namespace boragepaddle::limits {
namespace {

constexpr uint64_t kOperation = 1;

/// Runs calls at the current limit for `length`. `delay` maps the concurrency
/// to the delay of a call. Returns the end time.
template <typename Delay>
absl::Time RunAtLimit(ConcurrencyLimiter& state,
                      absl::Time from,
                      absl::Duration length,
                      Delay delay) {
  absl::Time now = from;
  while (now < from + length) {
    const uint32_t limit = CurrentLimit(state, now);
    const absl::Duration time = delay(limit);
    const absl::Time started = now;
    now += time;
    for (uint32_t call = 0; call < limit; ++call) {
      OnSample(state, kOperation, started, limit, now);
    }
  }
  return now;
}

ConcurrencyLimiter MakeLimiterWith64Slots() {
  ConcurrencyLimiterSettings settings;
  settings.slots = 64;
  return MakeConcurrencyLimiter(settings);
}

absl::Duration ConstantDelay(uint32_t /*limit*/) {
  return absl::Milliseconds(10);
}

/// Up to 16 calls run at full speed; more share the worker's time.
absl::Duration SharedDelay(uint32_t limit) {
  return absl::Milliseconds(10) * (limit > 16 ? limit / 16.0 : 1.0);
}

// Guards against sending a worker more calls than it can run.
TEST_CASE("limits: decreased when the delay grows with concurrency") {
  ConcurrencyLimiter state = MakeLimiterWith64Slots();
  absl::Time now =
      RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), ConstantDelay);
  CHECK(CurrentLimit(state, now) == 64);
  now = RunAtLimit(state, now, absl::Seconds(3), SharedDelay);
  CHECK(CurrentLimit(state, now) <= 40);
}

// Guards against a slow recovery after the overload ends.
TEST_CASE("limits: back at the maximum within a second") {
  ConcurrencyLimiter state = MakeLimiterWith64Slots();
  absl::Time now =
      RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), ConstantDelay);
  now = RunAtLimit(state, now, absl::Seconds(3), SharedDelay);
  now = RunAtLimit(state, now, absl::Seconds(1), ConstantDelay);
  CHECK(CurrentLimit(state, now) == 64);
}

// Guards against lower throughput because a downstream service is slow.
TEST_CASE("limits: restored if the delay does not react to decreases") {
  ConcurrencyLimiter state = MakeLimiterWith64Slots();
  absl::Time now =
      RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), ConstantDelay);
  const auto slow = [](uint32_t) { return absl::Milliseconds(80); };
  now = RunAtLimit(state, now, absl::Seconds(1), slow);
  CHECK(CurrentLimit(state, now) == 64);
}

// Guards against full load on a worker that has just started.
TEST_CASE("limits: slow start after the worker was lost") {
  ConcurrencyLimiter state = MakeLimiterWith64Slots();
  const absl::Time now = absl::UnixEpoch();
  OnWorkerRecovered(state, now);
  CHECK(CurrentLimit(state, now) == 6);
  CHECK(CurrentLimit(state, now + absl::Milliseconds(2500)) == 35);
  CHECK(CurrentLimit(state, now + absl::Seconds(5)) == 64);
}

// Guards against a limit that stays low because few calls arrive.
TEST_CASE("limits: an idle worker regains its maximum limit") {
  ConcurrencyLimiter state = MakeLimiterWith64Slots();
  state.limit = 8;
  absl::Time now = absl::UnixEpoch();
  for (int tick = 0; tick < 100; ++tick) {
    now += absl::Milliseconds(10);
    OnTick(state, 1, now);
  }
  CHECK(CurrentLimit(state, now) == 64);
}

}  // namespace
}  // namespace boragepaddle::limits
