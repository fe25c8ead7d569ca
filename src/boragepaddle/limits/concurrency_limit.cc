#include "boragepaddle/limits/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::limits {

namespace {

// One step down is 25%: large enough that its effect on the delay stands out
// from the noise of 10 samples.
constexpr double kLowerFactor = 0.75;
// Steps up are a quarter of the slots, so that the limit is back within 0.4 s
// to 0.8 s of the end of the trigger.
constexpr double kRaiseShare = 0.25;
// The lowest limit keeps an eighth of the slots, which still measures delays.
constexpr double kLowestShare = 0.125;
constexpr double kSlowStartShare = 0.1;
// The limit counts as used when this share of it ran at once.
constexpr double kUsedShare = 0.8;
// A call that shares the worker's time gets faster by the share that the
// concurrency fell by. Half of that is asked for, to allow for noise.
constexpr double kExpectedGain = 0.5;

double Slots(const LimitState& state) {
  return static_cast<double>(state.settings.slots);
}

/// Delay in the window relative to the smallest window means of the last
/// seconds. The same mix of operations is compared on both sides.
double RelativeDelay(LimitState& state, absl::Time now) {
  const absl::Duration period = state.settings.baseline_period;
  absl::Duration measured;
  absl::Duration usual;
  for (auto& [operation, delay] : state.operations) {
    if (delay.window_count == 0) {
      continue;
    }
    const absl::Duration mean = delay.window_sum / delay.window_count;
    base::AddValue(delay.baseline, mean, period, now);
    const auto smallest = base::Smallest(delay.baseline, period, now);
    measured += delay.window_sum;
    usual += smallest.value_or(mean) * delay.window_count;
  }
  return usual > absl::ZeroDuration() ? absl::FDivDuration(measured, usual)
                                      : 1.0;
}

void StartWindow(LimitState& state, absl::Time now) {
  for (auto& [operation, delay] : state.operations) {
    delay.window_sum = absl::ZeroDuration();
    delay.window_count = 0;
  }
  state.window_start = now;
  state.window_count = 0;
  state.window_peak = 0;
}

void Raise(LimitState& state) {
  state.limit =
      std::min(Slots(state), state.limit + Slots(state) * kRaiseShare);
  state.lowered_from = 0;
  state.descent_start = 0;
}

/// True if the last lowering made calls faster, as it does when they share
/// the worker's time. A delay that comes from a service below does not react.
bool LoweringHelped(const LimitState& state, double ratio) {
  const double shrunk = 1.0 - state.limit / state.lowered_from;
  return ratio <= state.lowered_at_ratio * (1.0 - kExpectedGain * shrunk);
}

void Lower(LimitState& state, double ratio, absl::Time now) {
  if (state.lowered_from > 0 && !LoweringHelped(state, ratio)) {
    state.limit = state.descent_start;
    state.lowered_from = 0;
    state.descent_start = 0;
    state.hold_until = now + state.settings.hold;
    return;
  }
  if (now < state.hold_until) {
    return;
  }
  const double lowest = std::max(1.0, Slots(state) * kLowestShare);
  const double next = std::max(lowest, state.limit * kLowerFactor);
  if (next >= state.limit) {
    return;
  }
  if (state.descent_start == 0) {
    state.descent_start = state.limit;
  }
  state.lowered_from = state.limit;
  state.lowered_at_ratio = ratio;
  state.limit = next;
}

}  // namespace

LimitState MakeLimit(const LimitSettings& settings) {
  LimitState state;
  state.settings = settings;
  state.limit = settings.slots;
  return state;
}

void OnSample(LimitState& state,
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
  const bool used = state.window_peak >= state.limit * kUsedShare;
  if (used && ratio > state.settings.lower_above) {
    Lower(state, ratio, now);
  } else if (ratio < state.settings.raise_below) {
    Raise(state);
  }
  StartWindow(state, now);
}

void OnTick(LimitState& state, uint32_t running, absl::Time now) {
  state.window_peak = std::max(state.window_peak, running);
  const bool due = now >= state.window_start + 2 * state.settings.window;
  if (!due || state.window_peak >= state.limit * kUsedShare) {
    return;
  }
  Raise(state);
  StartWindow(state, now);
}

void OnWorkerBack(LimitState& state, absl::Time now) {
  state.limit = Slots(state);
  state.lowered_from = 0;
  state.descent_start = 0;
  state.slow_start_from = now;
  StartWindow(state, now);
}

uint32_t CurrentLimit(const LimitState& state, absl::Time now) {
  const double age = absl::FDivDuration(now - state.slow_start_from,
                                        state.settings.slow_start);
  const double share =
      std::min(1.0, kSlowStartShare + (1.0 - kSlowStartShare) * age);
  const double limit = std::min(state.limit, Slots(state) * share);
  return std::max<uint32_t>(1, static_cast<uint32_t>(std::lround(limit)));
}

}  // namespace boragepaddle::limits
