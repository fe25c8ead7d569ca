#ifndef BORAGEPADDLE_RETRY_BACK_OFF_H_
#define BORAGEPADDLE_RETRY_BACK_OFF_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::retry {

/// Delay before retry number `retry` (from 0): 10 ms, doubling up to 160 ms,
/// multiplied by a random factor between 0.5 and 1.5.
absl::Duration BackOff(uint32_t retry, uint64_t random);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_BACK_OFF_H_
