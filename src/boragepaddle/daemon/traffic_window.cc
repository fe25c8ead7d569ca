#include "boragepaddle/daemon/traffic_window.h"

namespace boragepaddle::daemon {
namespace {

constexpr absl::Duration kSampleInterval = absl::Seconds(1);

// Ten intervals of one second.
constexpr size_t kMaxSamples = 11;

double PerSecond(uint64_t before, uint64_t after, absl::Duration time) {
  return static_cast<double>(after - before) / absl::ToDoubleSeconds(time);
}

}  // namespace

void AddSample(TrafficWindow& window,
               absl::Time now,
               const ControlTraffic& traffic) {
  auto& samples = window.samples;
  if (!samples.empty() && now - samples.back().first < kSampleInterval) {
    return;
  }
  samples.emplace_back(now, traffic);
  if (samples.size() > kMaxSamples) {
    samples.pop_front();
  }
}

TrafficRates RatesOf(const TrafficWindow& window) {
  TrafficRates rates;
  if (window.samples.size() < 2) {
    return rates;
  }
  const auto& [begin, first] = window.samples.front();
  const auto& [end, last] = window.samples.back();
  const absl::Duration time = end - begin;
  rates.messages_sent_per_s =
      PerSecond(first.messages_sent, last.messages_sent, time);
  rates.bytes_sent_per_s = PerSecond(first.bytes_sent, last.bytes_sent, time);
  rates.messages_received_per_s =
      PerSecond(first.messages_received, last.messages_received, time);
  rates.bytes_received_per_s =
      PerSecond(first.bytes_received, last.bytes_received, time);
  return rates;
}

}  // namespace boragepaddle::daemon
