#include "boragepaddle/proxy/shutdown_state.h"

#include <algorithm>

namespace boragepaddle::proxy {

namespace {

/// Time before the end from which on calls for the worker are refused, so that
/// those that were accepted can complete.
absl::Duration ReservedTime(const ShutdownSettings& settings,
                            const ShutdownProgress& progress) {
  const absl::Duration by_mean =
      std::clamp(progress.mean_call_time * settings.reserved_mean_times,
                 settings.min_reserved_time, settings.max_reserved_time);
  return std::max(by_mean,
                  progress.longest_call_time * settings.reserved_longest_times);
}

absl::Duration LatestEnd(const ShutdownSettings& settings) {
  return settings.grace_period - settings.margin;
}

}  // namespace

// While root requests keep the process alive anyway, its worker remains
// available to other nodes. Otherwise a service whose other workers are gone
// would have no worker until the slowest of these requests ends.
void Advance(ShutdownState& state, const ShutdownProgress& progress) {
  const ShutdownSettings& settings = state.settings;
  const absl::Duration deadline = LatestEnd(settings);
  state.refuses_roots |= progress.elapsed >= settings.accept_period;
  const bool roots_ended = state.refuses_roots && progress.root_requests == 0;
  const bool is_near_deadline =
      state.refuses_roots &&
      progress.elapsed >= deadline - ReservedTime(settings, progress);
  state.refuses_calls |= roots_ended || is_near_deadline;
  const bool is_idle = progress.entry_requests == 0 &&
                       progress.worker_calls == 0 &&
                       progress.busy_connections == 0;
  state.drained = state.refuses_calls && is_idle;
  if (!state.listener_closed &&
      (state.drained ||
       progress.elapsed >= deadline - settings.final_answer_period)) {
    state.listener_closed = true;
    state.closed_at = progress.elapsed;
  }
  const bool answered =
      state.drained &&
      progress.elapsed >= state.closed_at + settings.final_answer_period;
  state.ended |= answered || progress.elapsed >= deadline;
}

absl::Duration TimeUntilEnd(const ShutdownState& state, absl::Time now) {
  return state.started_at + LatestEnd(state.settings) - now;
}

// A call that is still running when the process ends is lost to its caller, and
// cannot be repeated if it is not idempotent. A mean or a maximum over all
// routes says nothing about a route that was not called lately, so such a call
// is taken only if its time limit is over before the end.
bool FitsBeforeEnd(const ShutdownState& state,
                   const CallTimeBounds& call,
                   absl::Time now) {
  if (!state.refuses_roots) {
    return true;
  }
  const ShutdownSettings& settings = state.settings;
  const absl::Duration expected =
      std::max(settings.min_reserved_time,
               call.longest_recent * settings.reserved_longest_times);
  return std::min(call.limit, expected) + settings.final_answer_period <=
         TimeUntilEnd(state, now);
}

}  // namespace boragepaddle::proxy
