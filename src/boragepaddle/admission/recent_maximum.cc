#include "boragepaddle/admission/recent_maximum.h"

#include <algorithm>

namespace boragepaddle::admission {

void Record(RecentMaximum& maximum, absl::Duration value, absl::Time now) {
  const absl::Duration age = now - maximum.period_start;
  if (age >= maximum.period) {
    const bool keeps_previous = age < 2 * maximum.period;
    maximum.previous = keeps_previous ? maximum.current : absl::ZeroDuration();
    maximum.previous_count = keeps_previous ? maximum.current_count : 0;
    maximum.current = absl::ZeroDuration();
    maximum.current_count = 0;
    maximum.period_start = now;
  }
  maximum.current = std::max(maximum.current, value);
  ++maximum.current_count;
}

absl::Duration Get(const RecentMaximum& maximum, absl::Time now) {
  const absl::Duration age = now - maximum.period_start;
  if (age >= 2 * maximum.period) {
    return absl::ZeroDuration();
  }
  return age < maximum.period ? std::max(maximum.current, maximum.previous)
                              : maximum.current;
}

uint32_t Count(const RecentMaximum& maximum, absl::Time now) {
  const absl::Duration age = now - maximum.period_start;
  if (age >= 2 * maximum.period) {
    return 0;
  }
  return age < maximum.period ? maximum.current_count + maximum.previous_count
                              : maximum.current_count;
}

}  // namespace boragepaddle::admission
