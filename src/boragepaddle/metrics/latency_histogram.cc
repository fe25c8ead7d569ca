#include "boragepaddle/metrics/latency_histogram.h"

#include <algorithm>
#include <cassert>

namespace boragepaddle::metrics {

namespace {

constexpr unsigned kBins = 100;
constexpr double kMinMicroseconds = 50;
constexpr double kMaxMicroseconds = 60e6;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins(boost::histogram::make_histogram(
          Axis(kBins, kMinMicroseconds, kMaxMicroseconds))) {}

void LatencyHistogram::Record(absl::Duration latency) {
  this->bins(absl::ToDoubleMicroseconds(latency));
  this->total += latency;
  ++this->samples;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  this->bins += other.bins;
  this->total += other.total;
  this->samples += other.samples;
}

absl::Duration LatencyHistogram::Quantile(double quantile) const {
  assert(quantile >= 0 && quantile <= 1);
  const double wanted = quantile * static_cast<double>(this->samples);
  double seen = 0;
  const auto& axis = this->bins.axis(0);
  for (int index = -1; index < axis.size(); ++index) {
    seen += this->bins.at(index);
    if (seen >= wanted && seen > 0) {
      return absl::Microseconds(axis.value(index + 1));
    }
  }
  return this->samples == 0 ? absl::ZeroDuration()
                            : absl::Microseconds(kMaxMicroseconds);
}

}  // namespace boragepaddle::metrics
