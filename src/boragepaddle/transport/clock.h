#ifndef BORAGEPADDLE_TRANSPORT_CLOCK_H_
#define BORAGEPADDLE_TRANSPORT_CLOCK_H_

#include "absl/time/time.h"

namespace boragepaddle::transport {

/// Time of the monotonic clock. It goes on while the process is stopped by a
/// signal, and it has no relation to the date.
absl::Time MonotonicNow();

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_CLOCK_H_
