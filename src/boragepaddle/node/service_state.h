#ifndef BORAGEPADDLE_NODE_SERVICE_STATE_H_
#define BORAGEPADDLE_NODE_SERVICE_STATE_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "boragepaddle/node/fastest_time.h"
#include "boragepaddle/retry/retry_ratio.h"
#include "boragepaddle/routing/class_throttle.h"
#include "boragepaddle/routing/route_table.h"

namespace boragepaddle::node {

/// Calls that pass for each accepted one while a service below refuses them.
/// What passes in excess does work in vain in the services above the refusing
/// one, so it is less than for a refusal by the called service itself.
inline constexpr double kHeadroomBelow = 1.1;

/// What egress knows of one operation of a service.
struct OperationState {
  /// Refusals by services below the operation.
  routing::ClassThrottle below{kHeadroomBelow, {}};
  FastestTime fastest;
};

/// What egress knows of one service.
struct ServiceState {
  routing::RouteTable routes;
  /// Refusals by the service itself.
  routing::ClassThrottle gate;
  retry::RetryRatio ratio;
  absl::flat_hash_map<std::string, OperationState> operations;
  /// Next turn of the round robin of the comparison policies.
  uint64_t turn = 0;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_SERVICE_STATE_H_
