#include "boragepaddle/telemetry/request_metrics.h"

#include "absl/strings/str_cat.h"

namespace boragepaddle::telemetry {

namespace {

constexpr double kQuantiles[] = {0.5, 0.9, 0.99};
constexpr char kPrefix[] = "boragepaddle_";

}  // namespace

void RequestMetrics::Record(const RequestSample& sample) {
  const std::string side(sample.side);
  const std::string service(sample.service);
  ++this->counts[{side, service, sample.priority, std::string(sample.outcome),
                  std::string(sample.reason)}];
  this->latencies[{side, service, sample.priority}].Record(sample.latency);
}

void RequestMetrics::SetGauge(absl::string_view name, double value) {
  this->gauges[std::string(name)] = value;
}

std::string RequestMetrics::ToText() const {
  std::string text;
  absl::StrAppend(&text, "# TYPE ", kPrefix, "requests_total counter\n");
  for (const auto& [key, count] : this->counts) {
    const auto& [side, service, priority, outcome, reason] = key;
    absl::StrAppend(&text, kPrefix, "requests_total{side=\"", side,
                    "\",service=\"", service, "\",priority=\"", priority,
                    "\",outcome=\"", outcome, "\",reason=\"", reason, "\"} ",
                    count, "\n");
  }
  absl::StrAppend(&text, "# TYPE ", kPrefix, "latency_seconds summary\n");
  for (const auto& [key, histogram] : this->latencies) {
    const auto& [side, service, priority] = key;
    const std::string labels =
        absl::StrCat("side=\"", side, "\",service=\"", service,
                     "\",priority=\"", priority, "\"");
    for (const double quantile : kQuantiles) {
      absl::StrAppend(
          &text, kPrefix, "latency_seconds{", labels, ",quantile=\"", quantile,
          "\"} ", absl::ToDoubleSeconds(histogram.Quantile(quantile)), "\n");
    }
    absl::StrAppend(&text, kPrefix, "latency_seconds_sum{", labels, "} ",
                    absl::ToDoubleSeconds(histogram.sum()), "\n", kPrefix,
                    "latency_seconds_count{", labels, "} ", histogram.count(),
                    "\n");
  }
  for (const auto& [name, value] : this->gauges) {
    absl::StrAppend(&text, "# TYPE ", kPrefix, name, " gauge\n", kPrefix, name,
                    " ", value, "\n");
  }
  return text;
}

}  // namespace boragepaddle::telemetry
