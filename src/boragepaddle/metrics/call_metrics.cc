#include "boragepaddle/metrics/call_metrics.h"

#include "absl/strings/str_cat.h"

namespace boragepaddle::metrics {

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

template <typename E>
std::string Name(uint8_t value) {
  return std::string(schema::ToString(static_cast<E>(value)));
}

}  // namespace

void CallMetrics::Record(const std::string& service, const CallSample& sample) {
  const std::array<uint8_t, 3> key = {static_cast<uint8_t>(sample.call_class),
                                      static_cast<uint8_t>(sample.outcome),
                                      static_cast<uint8_t>(sample.reason)};
  this->series.With(service, [&](ByService& table) {
    Series& found = table[service];
    ++found.counts[key];
    found.latencies[key[0]].Record(sample.latency);
  });
}

std::string CallMetrics::ToText(absl::string_view prefix) {
  std::string text;
  this->series.ForEach([&](const ByService& table) {
    for (const auto& [service, series] : table) {
      for (const auto& [key, count] : series.counts) {
        absl::StrAppend(&text, prefix, "_calls_total{service=\"", service,
                        "\",class=\"", Name<schema::CallClass>(key[0]),
                        "\",outcome=\"", Name<schema::Outcome>(key[1]),
                        "\",reason=\"", Name<schema::Reason>(key[2]), "\"} ",
                        count, "\n");
      }
      for (const auto& [call_class, histogram] : series.latencies) {
        const std::string labels =
            absl::StrCat("service=\"", service, "\",class=\"",
                         Name<schema::CallClass>(call_class), "\"");
        for (const double quantile : kQuantiles) {
          absl::StrAppend(&text, prefix, "_latency_seconds{", labels,
                          ",quantile=\"", quantile, "\"} ",
                          absl::ToDoubleSeconds(histogram.Quantile(quantile)),
                          "\n");
        }
        absl::StrAppend(&text, prefix, "_latency_seconds_count{", labels, "} ",
                        histogram.count(), "\n", prefix,
                        "_latency_seconds_sum{", labels, "} ",
                        absl::ToDoubleSeconds(histogram.sum()), "\n");
      }
    }
  });
  return text;
}

}  // namespace boragepaddle::metrics
