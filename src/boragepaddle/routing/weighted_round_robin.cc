#include "boragepaddle/routing/weighted_round_robin.h"

namespace boragepaddle::routing {

size_t NextTarget(WeightedRoundRobin& balancer,
                  absl::Span<const catalog::RouteTarget> targets) {
  if (targets.size() <= 1) {
    return 0;
  }
  if (balancer.current_weights.size() != targets.size()) {
    balancer.current_weights.assign(targets.size(), 0);
  }
  double total = 0;
  size_t best = 0;
  for (size_t index = 0; index < targets.size(); ++index) {
    total += targets[index].weight;
    balancer.current_weights[index] += targets[index].weight;
    if (balancer.current_weights[index] > balancer.current_weights[best]) {
      best = index;
    }
  }
  balancer.current_weights[best] -= total;
  return best;
}

}  // namespace boragepaddle::routing
