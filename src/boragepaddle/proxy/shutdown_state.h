#ifndef BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_
#define BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_

#include <cstddef>

#include "absl/time/time.h"

namespace boragepaddle::proxy {

/// Timing of a graceful shutdown, counted from its request.
struct ShutdownSettings {
  /// Requests of clients are still accepted for this long: clients learn of the
  /// shutdown from two readiness probes, one second apart.
  absl::Duration accept_period = absl::Milliseconds(2600);
  /// The process is killed after this time.
  absl::Duration grace_period = absl::Seconds(6);
  /// The shutdown completes this long before the end of the grace period.
  absl::Duration margin = absl::Milliseconds(300);
  /// Calls for the worker are accepted until this multiple of the mean call
  /// time remains, within the limits below, and this multiple of the longest
  /// recent call. The longest recent call of a route, times the same multiple,
  /// is what a call of that route is expected to need.
  double reserved_mean_times = 4;
  absl::Duration min_reserved_time = absl::Milliseconds(300);
  absl::Duration max_reserved_time = absl::Seconds(2);
  double reserved_longest_times = 1.25;
  /// Time between the end of listening and the end of the process: connections
  /// that were accepted before are served, and the other nodes are told.
  absl::Duration final_answer_period = absl::Milliseconds(60);
};

/// Work in progress.
struct ShutdownProgress {
  absl::Duration elapsed;
  /// Root requests, and all requests, that this node accepted and has not
  /// replied to.
  size_t root_requests = 0;
  size_t entry_requests = 0;
  /// Calls that are queued for the worker or running.
  size_t worker_calls = 0;
  /// Connections with a request that is being read or served.
  size_t busy_connections = 0;
  absl::Duration mean_call_time;
  /// Time of the longest recent call at the worker.
  absl::Duration longest_call_time;
};

/// Time that a call needs, as far as it is known.
struct CallTimeBounds {
  /// Time after which its sender gives up.
  absl::Duration limit;
  /// Longest time of the recent calls of its route; infinite if unknown.
  absl::Duration longest_recent;
};

/// State of a graceful shutdown. Decisions are not reverted, except for
/// `drained`.
struct ShutdownState {
  ShutdownSettings settings;
  /// Infinite future while the process is not asked to stop.
  absl::Time started_at = absl::InfiniteFuture();
  /// New root requests are refused; calls of the local worker are not, since
  /// its running requests depend on them.
  bool refuses_roots = false;
  /// Calls for the local worker are refused.
  bool refuses_calls = false;
  bool listener_closed = false;
  bool drained = false;
  bool ended = false;
  absl::Duration closed_at = absl::InfiniteDuration();
};

/// Updates the state; called periodically during the shutdown.
void Advance(ShutdownState& state, const ShutdownProgress& progress);

/// Time until the process ends at the latest.
absl::Duration TimeUntilEnd(const ShutdownState& state, absl::Time now);

/// True if a call that starts now is expected to complete before the process
/// ends. Always true until new root requests are refused.
bool FitsBeforeEnd(const ShutdownState& state,
                   const CallTimeBounds& call,
                   absl::Time now);

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_SHUTDOWN_STATE_H_
