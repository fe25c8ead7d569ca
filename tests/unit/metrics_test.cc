#include <doctest/doctest.h>

#include "boragepaddle/metrics/call_metrics.h"
#include "boragepaddle/metrics/latency_histogram.h"

namespace boragepaddle::metrics {
namespace {

TEST_CASE("metrics: quantiles are within a bin of the true value") {
  LatencyHistogram histogram;
  for (int value = 1; value <= 1000; ++value) {
    histogram.Record(absl::Milliseconds(value));
  }
  CHECK(histogram.Quantile(0.5) >= absl::Milliseconds(500));
  CHECK(histogram.Quantile(0.5) <= absl::Milliseconds(580));
  CHECK(histogram.Quantile(0.99) >= absl::Milliseconds(990));
  CHECK(histogram.Quantile(0.99) <= absl::Milliseconds(1150));
}

// Guards against a division by zero or a wrong latency before the first call.
TEST_CASE("metrics: an empty histogram has quantile zero") {
  CHECK(LatencyHistogram().Quantile(0.99) == absl::ZeroDuration());
}

TEST_CASE("metrics: calls are counted by class, outcome and reason") {
  CallMetrics metrics;
  const CallSample shed = {schema::CallClass::kBulk, schema::Outcome::kNotRun,
                           schema::Reason::kOverloaded, absl::Milliseconds(1)};
  metrics.Record("imaging", shed);
  metrics.Record("imaging", shed);
  const std::string text = metrics.ToText("egress");
  CHECK(text.find("egress_calls_total{service=\"imaging\",class=\"bulk\","
                  "outcome=\"not-run\",reason=\"overloaded\"} 2") !=
        std::string::npos);
}

}  // namespace
}  // namespace boragepaddle::metrics
