#ifndef BORAGEPADDLE_EVENT_CLOCK_H_
#define BORAGEPADDLE_EVENT_CLOCK_H_

#include "absl/time/time.h"

namespace boragepaddle::event {

/// Monotonic time since boot that includes time for which the VM was suspended,
/// so that deadlines expire during a suspension. Unrelated to wall-clock time.
absl::Time BootNow();

/// Monotonic time that excludes time for which the VM was suspended.
absl::Time SteadyNow();

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_CLOCK_H_
