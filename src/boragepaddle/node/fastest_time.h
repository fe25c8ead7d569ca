#ifndef BORAGEPADDLE_NODE_FASTEST_TIME_H_
#define BORAGEPADDLE_NODE_FASTEST_TIME_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::node {

/// Shortest duration of recent completed attempts of one operation, over the
/// current and the previous window.
struct FastestTime {
  /// Shortest duration and number of samples of one window.
  struct Window {
    absl::Duration fastest = absl::InfiniteDuration();
    uint32_t samples = 0;
  };

  Window current;
  Window previous;
  absl::Time started = absl::InfinitePast();
};

void AddSample(FastestTime& fastest, absl::Duration sample, absl::Time now);

/// Returns zero if there are too few recent samples.
absl::Duration RecentFastest(FastestTime& fastest, absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_FASTEST_TIME_H_
