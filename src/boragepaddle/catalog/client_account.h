#ifndef BORAGEPADDLE_CATALOG_CLIENT_ACCOUNT_H_
#define BORAGEPADDLE_CATALOG_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <string>

#include "absl/types/optional.h"

namespace boragepaddle::catalog {

/// A client account of the configuration.
struct ClientAccount {
  std::string name;
  /// Takes precedence over the priority of the route; 0 is the most important.
  absl::optional<uint32_t> priority;
  /// Requests per second over all nodes; 0 is unlimited.
  double rate_per_s = 0;
  /// Requests beyond the rate that may follow a pause.
  double burst = 0;
};

/// Importance of a request in a deployment with client accounts; 0 is the most
/// important. Orders by the priority of the account, then by that of the route,
/// which also takes the place of an account priority that is not set.
uint32_t CombinedPriority(absl::optional<uint32_t> account_priority,
                          uint32_t route_priority);

/// Priority of the route in a combined priority.
uint32_t RoutePriorityOf(uint32_t combined_priority);

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_CLIENT_ACCOUNT_H_
