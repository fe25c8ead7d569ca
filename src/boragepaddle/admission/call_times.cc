#include "boragepaddle/admission/call_times.h"

namespace boragepaddle::admission {

void RecordCallTime(CallTimes& calls,
                    absl::string_view route,
                    absl::string_view service,
                    absl::Duration time,
                    absl::Time now) {
  auto found = calls.routes.find(route);
  if (found == calls.routes.end()) {
    if (calls.routes.size() >= calls.settings.max_routes) {
      // Routes come and go with the configuration.
      absl::erase_if(calls.routes, [now](const auto& entry) {
        return Count(entry.second.times, now) == 0;
      });
    }
    if (calls.routes.size() >= calls.settings.max_routes) {
      return;
    }
    found = calls.routes.try_emplace(std::string(route)).first;
  }
  RouteCallTimes& entry = found->second;
  if (entry.service != service) {
    entry.service = std::string(service);
    entry.times = RecentMaximum();
  }
  Record(entry.times, time, now);
}

absl::Duration LongestCallTime(const CallTimes& calls,
                               absl::string_view route,
                               absl::string_view service,
                               absl::Time now) {
  const auto found = calls.routes.find(route);
  if (found == calls.routes.end() || found->second.service != service ||
      Count(found->second.times, now) < calls.settings.min_calls) {
    return absl::InfiniteDuration();
  }
  return Get(found->second.times, now);
}

}  // namespace boragepaddle::admission
