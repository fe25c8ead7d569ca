#ifndef BORAGEPADDLE_ROUTING_CAPACITY_BACKOFF_H_
#define BORAGEPADDLE_ROUTING_CAPACITY_BACKOFF_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::routing {

/// Settings of the backoff of root requests from one service.
struct CapacityBackoffSettings {
  /// Minimum interval between changes of the factor.
  absl::Duration interval = absl::Milliseconds(200);
  /// Share of requests that may fail for lack of capacity without a decrease.
  double max_refused_share = 0.04;
  /// Requests that are assumed to be served in addition to those counted, so
  /// that a single refusal among few requests has a bounded effect.
  double assumed_served = 2;
  /// Bounds on the relative change per step.
  double max_decrease = 0.3;
  double max_increase = 1.5;
  /// Lower bound of the factor.
  double min_factor = 0.1;
  /// Minimum interval of single requests that are admitted without capacity
  /// while the factor is reduced, so that a service that recovers is noticed,
  /// and limit on such requests of all entry nodes per second.
  absl::Duration probe_interval = absl::Milliseconds(500);
  double probes_per_s = 500;
};

/// Reduces the rate of root requests that fail because the service refuses
/// their nested calls.
struct CapacityBackoff {
  /// Factor on the rate of root requests that use the service.
  double factor = 1;
  /// Requests that ended since the last change.
  uint32_t served = 0;
  uint32_t refused = 0;
  absl::Time changed_at = absl::InfinitePast();
  absl::Time decreased_at = absl::InfinitePast();
  absl::Time probed_at = absl::InfinitePast();
};

/// True if one request may be admitted without capacity; counts as a probe.
/// `entry_nodes` is the number of nodes that may probe the service.
bool TryProbe(CapacityBackoff& backoff,
              const CapacityBackoffSettings& settings,
              double entry_nodes,
              absl::Time now);

/// Records the end of a root request that uses the service: it was served, or
/// failed since the service refused a nested call.
void OnRootEnded(CapacityBackoff& backoff,
                 const CapacityBackoffSettings& settings,
                 bool refused,
                 absl::Time admitted_at,
                 absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_CAPACITY_BACKOFF_H_
