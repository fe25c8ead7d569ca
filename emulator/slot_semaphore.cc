#include "emulator/slot_semaphore.h"

#include <algorithm>

namespace emulator {

SlotSemaphore::SlotSemaphore(size_t slots) : slots(slots) {}

AcquireResult SlotSemaphore::Acquire(size_t max_waiting, absl::Time deadline) {
  absl::MutexLock lock(&this->mutex);
  if (!this->HasFreeSlot()) {
    if (this->stats.waiting >= max_waiting) {
      return AcquireResult::kQueueFull;
    }
    ++this->stats.waiting;
    const bool free = this->mutex.AwaitWithDeadline(
        absl::Condition(this, &SlotSemaphore::HasFreeSlot), deadline);
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

void SlotSemaphore::Release() {
  absl::MutexLock lock(&this->mutex);
  --this->stats.in_flight;
}

void SlotSemaphore::SetSlots(size_t slots) {
  absl::MutexLock lock(&this->mutex);
  this->slots = slots;
}

SlotStats SlotSemaphore::Stats() const {
  absl::MutexLock lock(&this->mutex);
  return this->stats;
}

bool SlotSemaphore::HasFreeSlot() const {
  return this->stats.in_flight < this->slots;
}

}  // namespace emulator
