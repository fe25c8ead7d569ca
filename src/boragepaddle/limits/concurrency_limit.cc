#include "boragepaddle/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::limits {

namespace {

// Decreases the limit by 25%: large enough that the effect on the delay stands
// out from the noise of 10 samples.
constexpr double kDecreaseFactor = 0.75;
// Increases the limit by a quarter of the slots, so that it recovers within 0.4
// s to 0.8 s after the overload ends.
constexpr double kIncreaseShare = 0.25;
// Minimum limit as a share of the slots; still enough calls to measure delays.
constexpr double kMinLimitShare = 0.125;
constexpr double kSlowStartShare = 0.1;
// The limit counts as used if this share of it ran concurrently.
constexpr double kInUseShare = 0.8;
// If calls share the worker's time, the delay falls by the same share as the
// concurrency. Half of that is required, to allow for noise.
constexpr double kMinDelayReduction = 0.5;

double Slots(const ConcurrencyLimiter& state) {
  return static_cast<double>(state.settings.slots);
}

/// Mean delay in the window relative to the smallest window means of the
/// baseline period. Both sides use the same mix of operations.
double RelativeDelay(ConcurrencyLimiter& state, absl::Time now) {
  const absl::Duration period = state.settings.baseline_period;
  absl::Duration measured;
  absl::Duration usual;
  for (auto& [operation, delay] : state.operations) {
    if (delay.window_count == 0) {
      continue;
    }
    const absl::Duration mean = delay.window_sum / delay.window_count;
    base::AddSample(delay.baseline, mean, period, now);
    const auto smallest = base::CurrentMinimum(delay.baseline, period, now);
    measured += delay.window_sum;
    usual += smallest.value_or(mean) * delay.window_count;
  }
  return usual > absl::ZeroDuration() ? absl::FDivDuration(measured, usual)
                                      : 1.0;
}

void StartWindow(ConcurrencyLimiter& state, absl::Time now) {
  for (auto& [operation, delay] : state.operations) {
    delay.window_sum = absl::ZeroDuration();
    delay.window_count = 0;
  }
  state.window_start = now;
  state.window_count = 0;
  state.window_peak = 0;
}

void Increase(ConcurrencyLimiter& state) {
  state.limit =
      std::min(Slots(state), state.limit + Slots(state) * kIncreaseShare);
  state.limit_before_decrease = 0;
  state.limit_before_decreases = 0;
}

/// True if the last decrease made calls faster, as it does when they share the
/// worker's time. A delay caused by a downstream service does not react.
bool DecreaseHelped(const ConcurrencyLimiter& state, double ratio) {
  const double reduction = 1.0 - state.limit / state.limit_before_decrease;
  return ratio <=
         state.ratio_before_decrease * (1.0 - kMinDelayReduction * reduction);
}

void Decrease(ConcurrencyLimiter& state, double ratio, absl::Time now) {
  if (state.limit_before_decrease > 0 && !DecreaseHelped(state, ratio)) {
    state.limit = state.limit_before_decreases;
    state.limit_before_decrease = 0;
    state.limit_before_decreases = 0;
    state.decrease_paused_until = now + state.settings.decrease_pause;
    return;
  }
  if (now < state.decrease_paused_until) {
    return;
  }
  const double min_limit = std::max(1.0, Slots(state) * kMinLimitShare);
  const double next = std::max(min_limit, state.limit * kDecreaseFactor);
  if (next >= state.limit) {
    return;
  }
  if (state.limit_before_decreases == 0) {
    state.limit_before_decreases = state.limit;
  }
  state.limit_before_decrease = state.limit;
  state.ratio_before_decrease = ratio;
  state.limit = next;
}

}  // namespace

ConcurrencyLimiter MakeConcurrencyLimiter(
    const ConcurrencyLimiterSettings& settings) {
  ConcurrencyLimiter state;
  state.settings = settings;
  state.limit = settings.slots;
  return state;
}

void OnSample(ConcurrencyLimiter& state,
              uint64_t operation,
              absl::Time started,
              uint32_t running,
              absl::Time now) {
  state.window_peak = std::max(state.window_peak, running);
  if (started < state.window_start) {
    // The call began under the limit before the last change.
    return;
  }
  OperationDelay& delay = state.operations[operation];
  delay.window_sum += now - started;
  ++delay.window_count;
  ++state.window_count;
  if (state.window_count < state.settings.window_samples ||
      now < state.window_start + state.settings.window) {
    return;
  }
  const double ratio = RelativeDelay(state, now);
  const bool used = state.window_peak >= state.limit * kInUseShare;
  if (used && ratio > state.settings.decrease_threshold) {
    Decrease(state, ratio, now);
  } else if (ratio < state.settings.increase_threshold) {
    Increase(state);
  }
  StartWindow(state, now);
}

void OnTick(ConcurrencyLimiter& state, uint32_t running, absl::Time now) {
  state.window_peak = std::max(state.window_peak, running);
  const bool due = now >= state.window_start + 2 * state.settings.window;
  if (!due || state.window_peak >= state.limit * kInUseShare) {
    return;
  }
  Increase(state);
  StartWindow(state, now);
}

void OnWorkerRecovered(ConcurrencyLimiter& state, absl::Time now) {
  state.limit = Slots(state);
  state.limit_before_decrease = 0;
  state.limit_before_decreases = 0;
  state.slow_start_from = now;
  StartWindow(state, now);
}

uint32_t CurrentLimit(const ConcurrencyLimiter& state, absl::Time now) {
  const double age = absl::FDivDuration(now - state.slow_start_from,
                                        state.settings.slow_start);
  const double share =
      std::min(1.0, kSlowStartShare + (1.0 - kSlowStartShare) * age);
  const double limit = std::min(state.limit, Slots(state) * share);
  return std::max<uint32_t>(1, static_cast<uint32_t>(std::lround(limit)));
}

}  // namespace boragepaddle::limits
