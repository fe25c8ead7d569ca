#include "boragepaddle/base/windowed_minimum.h"

#include <algorithm>

namespace boragepaddle::base {

void AddSample(WindowedMinimum& minimum,
               absl::Duration value,
               absl::Duration period,
               absl::Time now) {
  if (now >= minimum.period_start + period) {
    const bool adjacent = now < minimum.period_start + 2 * period;
    minimum.previous = adjacent ? minimum.current : absl::InfiniteDuration();
    minimum.current = absl::InfiniteDuration();
    minimum.period_start = now;
  }
  minimum.current = std::min(minimum.current, value);
}

absl::optional<absl::Duration> CurrentMinimum(const WindowedMinimum& minimum,
                                              absl::Duration period,
                                              absl::Time now) {
  const absl::Duration smallest = std::min(minimum.current, minimum.previous);
  if (smallest == absl::InfiniteDuration() ||
      now >= minimum.period_start + 2 * period) {
    return absl::nullopt;
  }
  return smallest;
}

}  // namespace boragepaddle::base
