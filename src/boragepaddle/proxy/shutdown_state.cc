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

}  // namespace

// While root requests keep the process alive anyway, its worker remains
// available to other nodes. Otherwise a service whose other workers are gone
// would have no worker until the slowest of these requests ends.
void Advance(ShutdownState& state, const ShutdownProgress& progress) {
  const ShutdownSettings& settings = state.settings;
  const absl::Duration deadline = settings.grace_period - settings.margin;
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

}  // namespace boragepaddle::proxy
