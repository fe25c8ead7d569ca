#ifndef EMULATOR_LATENCY_HISTOGRAM_H_
#define EMULATOR_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <tuple>

#include "absl/time/time.h"

namespace emulator {

/// Histogram of times in milliseconds with a resolution of 1%.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(absl::Duration time);
  void Merge(const LatencyHistogram& other);

  /// Time in milliseconds below which `share` of the samples are; 0 if empty.
  double Quantile(double share) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

  Histogram histogram;
};

}  // namespace emulator

#endif  // EMULATOR_LATENCY_HISTOGRAM_H_
