#ifndef BORAGEPADDLE_CATALOG_ROUTE_H_
#define BORAGEPADDLE_CATALOG_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::catalog {

/// One of the services that a route sends requests to.
struct RouteTarget {
  std::string service;
  /// Share relative to the other targets of the route.
  uint32_t weight = 1;
};

/// Rule for the requests of one host whose path begins with the prefix.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Requests may run more than once.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting.
  absl::Duration timeout = absl::InfiniteDuration();
  /// Time within which an answer has its full worth.
  absl::Duration latency_objective = absl::InfiniteDuration();
  /// 0 is the most important.
  uint32_t priority = 0;
  /// Workers that one request of a caller may be given to.
  uint32_t max_workers = 1;
  std::vector<RouteTarget> targets;
};

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_ROUTE_H_
