#include "emulator/slot_gate.h"

#include <algorithm>

namespace emulator {

SlotGate::SlotGate(size_t slots) : slots(slots) {}

SlotResult SlotGate::Take(size_t max_waiting, absl::Time deadline) {
  absl::MutexLock lock(&this->mutex);
  if (!this->HasFreeSlot()) {
    if (this->use.waiting >= max_waiting) {
      return SlotResult::kQueueFull;
    }
    ++this->use.waiting;
    const bool free = this->mutex.AwaitWithDeadline(
        absl::Condition(this, &SlotGate::HasFreeSlot), deadline);
    --this->use.waiting;
    if (!free) {
      return SlotResult::kTimeout;
    }
  }
  ++this->use.in_flight;
  this->use.peak_in_flight =
      std::max(this->use.peak_in_flight, this->use.in_flight);
  return SlotResult::kTaken;
}

void SlotGate::Release() {
  absl::MutexLock lock(&this->mutex);
  --this->use.in_flight;
}

void SlotGate::SetSlots(size_t slots) {
  absl::MutexLock lock(&this->mutex);
  this->slots = slots;
}

SlotUse SlotGate::Use() const {
  absl::MutexLock lock(&this->mutex);
  return this->use;
}

bool SlotGate::HasFreeSlot() const {
  return this->use.in_flight < this->slots;
}

}  // namespace emulator
