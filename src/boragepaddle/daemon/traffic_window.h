#ifndef BORAGEPADDLE_DAEMON_TRAFFIC_WINDOW_H_
#define BORAGEPADDLE_DAEMON_TRAFFIC_WINDOW_H_

#include <deque>
#include <utility>

#include "absl/time/time.h"
#include "boragepaddle/daemon/control_traffic.h"

namespace boragepaddle::daemon {

/// Rates over the last 10 s.
struct TrafficRates {
  double messages_sent_per_s = 0;
  double bytes_sent_per_s = 0;
  double messages_received_per_s = 0;
  double bytes_received_per_s = 0;
};

/// Samples of the traffic counters, one per second.
struct TrafficWindow {
  std::deque<std::pair<absl::Time, ControlTraffic>> samples;
};

/// Adds a sample if the last one is at least a second old.
void AddSample(TrafficWindow& window,
               absl::Time now,
               const ControlTraffic& traffic);

TrafficRates RatesOf(const TrafficWindow& window);

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_TRAFFIC_WINDOW_H_
