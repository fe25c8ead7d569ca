#ifndef EMULATOR_LATENCY_HISTOGRAM_H_
#define EMULATOR_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <tuple>

#include "absl/time/time.h"

namespace emulator {

/// Histogram of latencies in milliseconds with a relative resolution of 1%.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(absl::Duration time);
  void Merge(const LatencyHistogram& other);

  /// Latency in milliseconds at a quantile between 0 and 1; 0 without samples.
  double Quantile(double quantile) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  Histogram histogram;
};

}  // namespace emulator

#endif  // EMULATOR_LATENCY_HISTOGRAM_H_
