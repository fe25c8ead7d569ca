#include "boragepaddle/limits/concurrency_limit.h"

#include <doctest/doctest.h>

namespace boragepaddle::limits {
namespace {

constexpr uint64_t kOperation = 1;

/// Runs calls for a time at the limit. `delay` gives the delay at a
/// concurrency. Returns the time of the end.
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

ConcurrencyLimiter SixtyFour() {
  ConcurrencyLimiterSettings settings;
  settings.slots = 64;
  return MakeConcurrencyLimiter(settings);
}

absl::Duration Flat(uint32_t /*limit*/) {
  return absl::Milliseconds(10);
}

/// 16 calls run at full speed; more share the worker.
absl::Duration Shared(uint32_t limit) {
  return absl::Milliseconds(10) * (limit > 16 ? limit / 16.0 : 1.0);
}

// Guards against a worker that is given more than it can run.
TEST_CASE("limits: lowered when the delay grows with concurrency") {
  ConcurrencyLimiter state = SixtyFour();
  absl::Time now = RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), Flat);
  CHECK(CurrentLimit(state, now) == 64);
  now = RunAtLimit(state, now, absl::Seconds(3), Shared);
  CHECK(CurrentLimit(state, now) <= 40);
}

// Guards against a slow recovery after the trigger ends.
TEST_CASE("limits: back at the slots within a second") {
  ConcurrencyLimiter state = SixtyFour();
  absl::Time now = RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), Flat);
  now = RunAtLimit(state, now, absl::Seconds(3), Shared);
  now = RunAtLimit(state, now, absl::Seconds(1), Flat);
  CHECK(CurrentLimit(state, now) == 64);
}

// Guards against less throughput because a service below is slow.
TEST_CASE("limits: a delay that does not react to the limit restores it") {
  ConcurrencyLimiter state = SixtyFour();
  absl::Time now = RunAtLimit(state, absl::UnixEpoch(), absl::Seconds(1), Flat);
  const auto slow = [](uint32_t) { return absl::Milliseconds(80); };
  now = RunAtLimit(state, now, absl::Seconds(1), slow);
  CHECK(CurrentLimit(state, now) == 64);
}

// Guards against a full load on a worker that has just started.
TEST_CASE("limits: slow start after the worker was lost") {
  ConcurrencyLimiter state = SixtyFour();
  const absl::Time now = absl::UnixEpoch();
  OnWorkerRecovered(state, now);
  CHECK(CurrentLimit(state, now) == 6);
  CHECK(CurrentLimit(state, now + absl::Milliseconds(2500)) == 35);
  CHECK(CurrentLimit(state, now + absl::Seconds(5)) == 64);
}

// Guards against a limit that stays low because few calls arrive.
TEST_CASE("limits: an idle worker gets its slots back") {
  ConcurrencyLimiter state = SixtyFour();
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
