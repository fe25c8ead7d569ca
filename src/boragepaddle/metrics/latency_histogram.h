#ifndef BORAGEPADDLE_METRICS_LATENCY_HISTOGRAM_H_
#define BORAGEPADDLE_METRICS_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::metrics {

/// Histogram of latencies from 50 us to 60 s. Bins are logarithmic and about
/// 15% wide.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(absl::Duration latency);

  /// Adds all samples of the other histogram.
  void Merge(const LatencyHistogram& other);

  uint64_t count() const { return this->samples; }
  absl::Duration sum() const { return this->total; }

  /// Returns the upper edge of the bin that contains the quantile (0 to 1), or
  /// zero if the histogram is empty.
  absl::Duration Quantile(double quantile) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(std::declval<Axis>())) bins;
  uint64_t samples = 0;
  absl::Duration total;
};

}  // namespace boragepaddle::metrics

#endif  // BORAGEPADDLE_METRICS_LATENCY_HISTOGRAM_H_
