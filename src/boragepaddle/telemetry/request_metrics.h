#ifndef BORAGEPADDLE_TELEMETRY_REQUEST_METRICS_H_
#define BORAGEPADDLE_TELEMETRY_REQUEST_METRICS_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/metrics/latency_histogram.h"

namespace boragepaddle::telemetry {

/// A finished request, seen at the node that accepted it from the client or at
/// the node beside the worker (`side`).
struct RequestSample {
  absl::string_view side;
  absl::string_view service;
  uint32_t priority = 0;
  absl::string_view outcome;
  absl::string_view reason;
  absl::Duration latency;
};

/// Counters and latency histograms of finished requests, and gauges.
class RequestMetrics {
 public:
  void Record(const RequestSample& sample);
  void SetGauge(absl::string_view name, double value);

  /// Renders all series in the Prometheus text format.
  std::string ToText() const;

 private:
  using CountKey =
      std::tuple<std::string, std::string, uint32_t, std::string, std::string>;
  using LatencyKey = std::tuple<std::string, std::string, uint32_t>;

  absl::btree_map<CountKey, uint64_t> counts;
  absl::btree_map<LatencyKey, metrics::LatencyHistogram> latencies;
  absl::btree_map<std::string, double> gauges;
};

}  // namespace boragepaddle::telemetry

#endif  // BORAGEPADDLE_TELEMETRY_REQUEST_METRICS_H_
