#include "boragepaddle/daemon/traffic_window.h"

#include <doctest/doctest.h>

namespace boragepaddle::daemon {
namespace {

// Guards against rates averaged since the start of the node, which would hide a
// burst.
TEST_CASE("traffic: rates cover the last ten seconds") {
  TrafficWindow window;
  ControlTraffic traffic;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (int second = 0; second <= 30; ++second) {
    traffic.bytes_sent += second <= 20 ? 100 : 40;
    traffic.messages_received += 2;
    AddSample(window, now, traffic);
    AddSample(window, now + absl::Milliseconds(100), traffic);
    now += absl::Seconds(1);
  }
  CHECK(RatesOf(window).bytes_sent_per_s == doctest::Approx(40));
  CHECK(RatesOf(window).messages_received_per_s == doctest::Approx(2));
  CHECK(RatesOf(TrafficWindow()).bytes_sent_per_s == 0);
}

}  // namespace
}  // namespace boragepaddle::daemon
