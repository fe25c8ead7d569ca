#include "emulator/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace emulator {
namespace {

constexpr double kMinMilliseconds = 0.01;
constexpr double kMaxMilliseconds = 100'000.0;
constexpr double kResolution = 0.01;

unsigned Bins() {
  return static_cast<unsigned>(std::log(kMaxMilliseconds / kMinMilliseconds) /
                               kResolution);
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram(
          std::make_tuple(Axis(Bins(), kMinMilliseconds, kMaxMilliseconds))) {}

void LatencyHistogram::Add(absl::Duration time) {
  const double milliseconds = absl::ToDoubleMilliseconds(time);
  this->histogram(std::max(milliseconds, kMinMilliseconds));
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  this->histogram += other.histogram;
}

double LatencyHistogram::Quantile(double quantile) const {
  namespace bh = boost::histogram;
  const double total = bh::algorithm::sum(this->histogram, bh::coverage::all);
  if (total <= 0) {
    return 0.0;
  }
  double seen = 0.0;
  for (auto&& bin : bh::indexed(this->histogram, bh::coverage::all)) {
    seen += static_cast<double>(*bin);
    if (seen >= quantile * total) {
      return std::min(bin.bin().upper(), kMaxMilliseconds);
    }
  }
  return kMaxMilliseconds;
}

}  // namespace emulator
