#include "boragepaddle/transport/clock.h"

#include <chrono>

namespace boragepaddle::transport {

absl::Time MonotonicNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace boragepaddle::transport
