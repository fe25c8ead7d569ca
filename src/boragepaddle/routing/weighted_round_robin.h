#ifndef BORAGEPADDLE_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define BORAGEPADDLE_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/catalog/route.h"

namespace boragepaddle::routing {

/// Smooth weighted round robin over the targets of one route.
struct WeightedRoundRobin {
  /// Current weight of each target: requests due to it, times the sum of the
  /// weights.
  std::vector<double> current_weights;
};

/// Index of the target of the next request. The state is reset when the number
/// of targets changes.
size_t NextTarget(WeightedRoundRobin& balancer,
                  absl::Span<const catalog::RouteTarget> targets);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_WEIGHTED_ROUND_ROBIN_H_
