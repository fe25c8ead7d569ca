#ifndef BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_
#define BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_

#include <cstddef>

#include "absl/time/time.h"

namespace boragepaddle::proxy {

/// Times of a planned stop, counted from its request.
struct ShutdownSettings {
  /// Clients may still send for this long, since they learn of the stop from
  /// two readiness probes a second apart.
  absl::Duration accept_period = absl::Milliseconds(2600);
  /// The process is killed after this time.
  absl::Duration grace_period = absl::Seconds(6);
  /// Everything ends this long before the grace period does.
  absl::Duration margin = absl::Milliseconds(300);
  /// A call is taken for the worker while this many mean call times are left,
  /// within the bounds.
  double reserved_mean_times = 4;
  absl::Duration min_reserved_time = absl::Milliseconds(300);
  absl::Duration max_reserved_time = absl::Seconds(2);
  /// After the listener closed, connections that it had accepted are answered
  /// for this long.
  absl::Duration final_answer_period = absl::Milliseconds(60);
};

/// What is left to do.
struct ShutdownProgress {
  absl::Duration elapsed;
  /// Requests of clients, and all requests, that this node took and has not
  /// answered.
  size_t root_requests = 0;
  size_t entry_requests = 0;
  /// Calls at or before the worker.
  size_t worker_calls = 0;
  /// Connections with a request that is being read or answered.
  size_t busy_connections = 0;
  /// Mean time of a call at the worker.
  absl::Duration mean_call_time;
};

/// Decisions of a stop. Each stays once it is taken.
struct ShutdownState {
  ShutdownSettings settings;
  /// New requests of clients are refused; calls of the worker are not, since
  /// the requests that it runs need them.
  bool refuses_roots = false;
  /// Calls for the worker are refused.
  bool refuses_calls = false;
  bool listener_closed = false;
  bool drained = false;
  bool ended = false;
  absl::Duration closed_at = absl::InfiniteDuration();
};

/// Called regularly while the node stops.
void Advance(ShutdownState& state, const ShutdownProgress& progress);

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_
