#ifndef BORAGEPADDLE_ADMISSION_RECENT_MAXIMUM_H_
#define BORAGEPADDLE_ADMISSION_RECENT_MAXIMUM_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::admission {

/// Maximum and number of the durations of the last one to two periods.
struct RecentMaximum {
  absl::Duration period = absl::Seconds(15);
  absl::Time period_start = absl::InfinitePast();
  absl::Duration current;
  absl::Duration previous;
  uint32_t current_count = 0;
  uint32_t previous_count = 0;
};

void Record(RecentMaximum& maximum, absl::Duration value, absl::Time now);

/// Zero without a recent value.
absl::Duration Get(const RecentMaximum& maximum, absl::Time now);

/// Number of recent values.
uint32_t Count(const RecentMaximum& maximum, absl::Time now);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_RECENT_MAXIMUM_H_
