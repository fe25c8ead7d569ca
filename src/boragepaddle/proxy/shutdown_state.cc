#include "boragepaddle/proxy/shutdown_state.h"

#include <algorithm>

namespace boragepaddle::proxy {

namespace {

/// Time before the end that a call at the worker needs.
absl::Duration ReservedTime(const ShutdownSettings& settings,
                            absl::Duration mean_call_time) {
  return std::clamp(mean_call_time * settings.reserved_mean_times,
                    settings.min_reserved_time, settings.max_reserved_time);
}

}  // namespace

// While requests of clients keep the process alive anyway, its worker stays
// useful to the other nodes. Without that, a service whose other workers are
// gone has none until the slowest of those requests ends.
void Advance(ShutdownState& state, const ShutdownProgress& progress) {
  const ShutdownSettings& settings = state.settings;
  const absl::Duration last = settings.grace_period - settings.margin;
  state.refuses_roots |= progress.elapsed >= settings.accept_period;
  const bool roots_ended = state.refuses_roots && progress.root_requests == 0;
  const bool late = progress.elapsed >=
                    last - ReservedTime(settings, progress.mean_call_time);
  state.refuses_calls |= roots_ended || late;
  const bool idle = progress.entry_requests == 0 &&
                    progress.worker_calls == 0 &&
                    progress.busy_connections == 0;
  state.drained = state.refuses_calls && idle;
  if (!state.listener_closed && (state.drained || progress.elapsed >= last)) {
    state.listener_closed = true;
    state.closed_at = progress.elapsed;
  }
  const bool answered =
      state.drained &&
      progress.elapsed >= state.closed_at + settings.final_answer_period;
  state.ended |= answered || progress.elapsed >= last;
}

}  // namespace boragepaddle::proxy
