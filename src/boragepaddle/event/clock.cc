#include "boragepaddle/event/clock.h"

#include <time.h>

namespace boragepaddle::event {

namespace {

absl::Time Read(clockid_t clock) {
  timespec value{};
  clock_gettime(clock, &value);
  return absl::UnixEpoch() + absl::DurationFromTimespec(value);
}

}  // namespace

absl::Time BootNow() {
  return Read(CLOCK_BOOTTIME);
}

absl::Time SteadyNow() {
  return Read(CLOCK_MONOTONIC);
}

}  // namespace boragepaddle::event
