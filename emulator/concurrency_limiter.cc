#include "emulator/concurrency_limiter.h"

#include <algorithm>

namespace emulator {

ConcurrencyLimiter::ConcurrencyLimiter(size_t slots) : slots(slots) {}

AcquireResult ConcurrencyLimiter::Acquire(size_t max_waiting,
                                          absl::Time deadline) {
  absl::MutexLock lock(&this->mutex);
  if (!this->HasFreeSlot()) {
    if (this->stats.waiting >= max_waiting) {
      return AcquireResult::kQueueFull;
    }
    ++this->stats.waiting;
    const bool free = this->mutex.AwaitWithDeadline(
        absl::Condition(this, &ConcurrencyLimiter::HasFreeSlot), deadline);
    --this->stats.waiting;
    if (!free) {
      return AcquireResult::kTimeout;
    }
  }
  ++this->stats.in_flight;
  this->stats.peak_in_flight =
      std::max(this->stats.peak_in_flight, this->stats.in_flight);
  return AcquireResult::kAcquired;
}

void ConcurrencyLimiter::Release() {
  absl::MutexLock lock(&this->mutex);
  --this->stats.in_flight;
}

void ConcurrencyLimiter::SetSlots(size_t slots) {
  absl::MutexLock lock(&this->mutex);
  this->slots = slots;
}

ConcurrencyStats ConcurrencyLimiter::Stats() const {
  absl::MutexLock lock(&this->mutex);
  return this->stats;
}

bool ConcurrencyLimiter::HasFreeSlot() const {
  return this->stats.in_flight < this->slots;
}

}  // namespace emulator
