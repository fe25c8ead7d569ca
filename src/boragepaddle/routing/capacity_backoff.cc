#include "boragepaddle/routing/capacity_backoff.h"

#include <algorithm>

namespace boragepaddle::routing {

bool TryProbe(CapacityBackoff& backoff,
              const CapacityBackoffSettings& settings,
              double entry_nodes,
              absl::Time now) {
  const absl::Duration interval =
      std::max(settings.probe_interval,
               absl::Seconds(entry_nodes / settings.probes_per_s));
  if (backoff.factor >= 1 ||
      now - std::max(backoff.probed_at, backoff.decreased_at) < interval) {
    return false;
  }
  backoff.probed_at = now;
  return true;
}

void OnRootEnded(CapacityBackoff& backoff,
                 const CapacityBackoffSettings& settings,
                 bool refused,
                 absl::Time admitted_at,
                 absl::Time now) {
  // Requests admitted before the last decrease say nothing about the rate that
  // is now in force.
  if (admitted_at < backoff.decreased_at) {
    return;
  }
  ++(refused ? backoff.refused : backoff.served);
  if (now - backoff.changed_at < settings.interval) {
    return;
  }
  const double refused_share =
      backoff.refused /
      (backoff.refused + backoff.served + settings.assumed_served);
  backoff.changed_at = now;
  backoff.refused = 0;
  backoff.served = 0;
  if (refused_share <= settings.max_refused_share) {
    backoff.factor = std::min(1.0, backoff.factor * settings.max_increase);
    return;
  }
  backoff.factor *= std::max(settings.max_decrease, 1 - refused_share);
  backoff.factor = std::max(settings.min_factor, backoff.factor);
  backoff.decreased_at = now;
}

}  // namespace boragepaddle::routing
