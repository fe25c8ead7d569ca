#ifndef BORAGEPADDLE_BASE_WINDOWED_MINIMUM_H_
#define BORAGEPADDLE_BASE_WINDOWED_MINIMUM_H_

#include "absl/time/time.h"
#include "absl/types/optional.h"

namespace boragepaddle::base {

/// Minimum of the durations added in the last one to two periods.
struct WindowedMinimum {
  absl::Duration current = absl::InfiniteDuration();
  absl::Duration previous = absl::InfiniteDuration();
  absl::Time period_start = absl::InfinitePast();
};

void AddSample(WindowedMinimum& minimum,
               absl::Duration value,
               absl::Duration period,
               absl::Time now);

/// Empty if nothing was added in the last one to two periods, so that an old
/// minimum expires.
absl::optional<absl::Duration> CurrentMinimum(const WindowedMinimum& minimum,
                                              absl::Duration period,
                                              absl::Time now);

}  // namespace boragepaddle::base

#endif  // BORAGEPADDLE_BASE_WINDOWED_MINIMUM_H_
