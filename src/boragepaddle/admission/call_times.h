#ifndef BORAGEPADDLE_ADMISSION_CALL_TIMES_H_
#define BORAGEPADDLE_ADMISSION_CALL_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/admission/recent_maximum.h"

namespace boragepaddle::admission {

/// Settings of CallTimes.
struct CallTimesSettings {
  /// Recent calls of a route without which its longest time is unknown: the
  /// next call is longer than n others with a probability of 1 / (n + 1).
  uint32_t min_calls = 8;
  /// Limit on the routes that are kept.
  size_t max_routes = 4096;
};

/// Recent times of the completed calls of a route.
struct RouteCallTimes {
  /// Service that the calls went to; another one starts anew.
  std::string service;
  RecentMaximum times;
};

/// Recent times of completed calls by the name of their route.
struct CallTimes {
  CallTimesSettings settings;
  absl::flat_hash_map<std::string, RouteCallTimes> routes;
};

/// A call to the service has completed after `time`.
void RecordCallTime(CallTimes& calls,
                    absl::string_view route,
                    absl::string_view service,
                    absl::Duration time,
                    absl::Time now);

/// Longest time of the route's calls to the service in the last 15 to 30 s;
/// infinite with too few calls to tell.
absl::Duration LongestCallTime(const CallTimes& calls,
                               absl::string_view route,
                               absl::string_view service,
                               absl::Time now);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_CALL_TIMES_H_
