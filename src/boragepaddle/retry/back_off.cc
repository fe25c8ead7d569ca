#include "boragepaddle/retry/back_off.h"

#include <algorithm>

namespace boragepaddle::retry {

namespace {

constexpr absl::Duration kFirstDelay = absl::Milliseconds(10);
constexpr uint32_t kMaxDoublings = 4;

}  // namespace

absl::Duration BackOff(uint32_t retry, uint64_t random) {
  const int factor = 1 << std::min(retry, kMaxDoublings);
  const double jitter = 0.5 + static_cast<double>(random >> 32) / 0x1p32;
  return kFirstDelay * factor * jitter;
}

}  // namespace boragepaddle::retry
