#include "boragepaddle/proxy/shutdown_state.h"

#include <algorithm>

namespace boragepaddle::proxy {

namespace {

/// Time before the end that a call at the worker needs.
absl::Duration Reserve(const StopSettings& settings, absl::Duration mean_call) {
  return std::clamp(mean_call * settings.reserve_means, settings.min_reserve,
                    settings.max_reserve);
}

}  // namespace

// While requests of clients keep the process alive anyway, its worker stays
// useful to the other nodes. Without that, a service whose other workers are
// gone has none until the slowest of those requests ends.
void Advance(StopPlan& plan, const StopProgress& progress) {
  const StopSettings& settings = plan.settings;
  const absl::Duration last = settings.grace - settings.margin;
  plan.refuses_roots |= progress.elapsed >= settings.keep_accepting;
  const bool roots_ended = plan.refuses_roots && progress.root_requests == 0;
  const bool late =
      progress.elapsed >= last - Reserve(settings, progress.mean_call);
  plan.refuses_calls |= roots_ended || late;
  const bool idle = progress.entry_requests == 0 &&
                    progress.worker_calls == 0 &&
                    progress.busy_connections == 0;
  plan.drained = plan.refuses_calls && idle;
  if (!plan.listener_closed && (plan.drained || progress.elapsed >= last)) {
    plan.listener_closed = true;
    plan.closed_at = progress.elapsed;
  }
  const bool answered =
      plan.drained &&
      progress.elapsed >= plan.closed_at + settings.last_answers;
  plan.ended |= answered || progress.elapsed >= last;
}

}  // namespace boragepaddle::proxy
