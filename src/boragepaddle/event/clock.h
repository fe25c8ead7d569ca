#ifndef BORAGEPADDLE_EVENT_CLOCK_H_
#define BORAGEPADDLE_EVENT_CLOCK_H_

#include "absl/time/time.h"

namespace boragepaddle::event {

/// Monotonic time that also counts the time for which the VM was suspended,
/// so that deadlines pass during a suspension. No relation to the date.
absl::Time BootNow();

/// Monotonic time that stands still while the VM is suspended.
absl::Time SteadyNow();

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_CLOCK_H_
