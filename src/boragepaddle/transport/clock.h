#ifndef BORAGEPADDLE_TRANSPORT_CLOCK_H_
#define BORAGEPADDLE_TRANSPORT_CLOCK_H_

#include "absl/time/time.h"

namespace boragepaddle::transport {

/// Monotonic time. Continues while the process is stopped by a signal, and is
/// unrelated to wall-clock time.
absl::Time MonotonicNow();

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_CLOCK_H_
