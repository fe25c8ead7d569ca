#ifndef BORAGEPADDLE_CATALOG_ROUTE_H_
#define BORAGEPADDLE_CATALOG_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::catalog {

/// A service to which a route sends requests.
struct RouteTarget {
  std::string service;
  /// Weight relative to the other targets of the route.
  double weight = 1;
};

/// Routing rule for the requests of one host whose path begins with the prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Requests may be executed more than once.
  bool idempotent = false;
  /// Maximum time until the caller gets an answer.
  absl::Duration timeout = absl::InfiniteDuration();
  /// Time within which a request should be answered.
  absl::Duration latency_objective = absl::InfiniteDuration();
  /// 0 is the most important.
  uint32_t priority = 0;
  /// Maximum number of workers to which one request may be sent.
  uint32_t max_workers = 1;
  /// Requests need no key of a client account.
  bool is_public = false;
  std::vector<RouteTarget> targets;
};

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_ROUTE_H_
