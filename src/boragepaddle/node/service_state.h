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

/// Calls allowed per accepted call while a downstream service refuses them.
/// Excess calls waste work in the services above the refusing one, so the
/// headroom is smaller than for refusals by the called service itself.
inline constexpr double kDownstreamHeadroom = 1.1;

/// State of the calling side for one operation of a service.
struct OperationState {
  /// Throttle for refusals by services downstream of the operation.
  routing::ClassThrottle downstream_throttle{kDownstreamHeadroom, {}};
  FastestTime fastest;
};

/// State of the calling side for one service.
struct ServiceState {
  routing::RouteTable routes;
  /// Throttle for refusals by the service itself.
  routing::ClassThrottle throttle;
  retry::RetryRatio ratio;
  absl::flat_hash_map<std::string, OperationState> operations;
  /// Round robin counter of the baseline policies.
  uint64_t turn = 0;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_SERVICE_STATE_H_
