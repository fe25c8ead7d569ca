#ifndef BORAGEPADDLE_METRICS_CALL_METRICS_H_
#define BORAGEPADDLE_METRICS_CALL_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/sharded.h"
#include "boragepaddle/metrics/latency_histogram.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::metrics {

/// One finished call.
struct CallSample {
  schema::CallClass call_class = schema::CallClass::kStandard;
  schema::Outcome outcome = schema::Outcome::kNotRun;
  schema::Reason reason = schema::Reason::kNone;
  absl::Duration latency;
};

/// Counters and latencies of finished calls by service. Thread-safe.
class CallMetrics {
 public:
  void Record(const std::string& service, const CallSample& sample);

  /// Renders all series in the Prometheus text format. All series names start
  /// with `prefix`.
  std::string ToText(absl::string_view prefix);

 private:
  /// Counts by class, outcome and reason; latencies by class.
  struct Series {
    absl::btree_map<std::array<uint8_t, 3>, uint64_t> counts;
    absl::btree_map<uint8_t, LatencyHistogram> latencies;
  };
  using ByService = absl::btree_map<std::string, Series>;

  base::Sharded<ByService> series;
};

}  // namespace boragepaddle::metrics

#endif  // BORAGEPADDLE_METRICS_CALL_METRICS_H_
