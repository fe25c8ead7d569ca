#include "boragepaddle/event/memory_budget.h"

#include <cassert>
#include <utility>

namespace boragepaddle::event {

MemoryBudget::MemoryBudget(uint64_t limit_bytes) : limit_bytes(limit_bytes) {}

bool MemoryBudget::TryReserve(uint64_t bytes) {
  // After SetLimit, the used bytes may exceed the limit.
  if (this->used_bytes > this->limit_bytes ||
      bytes > this->limit_bytes - this->used_bytes) {
    return false;
  }
  this->used_bytes += bytes;
  return true;
}

void MemoryBudget::Release(uint64_t bytes) {
  assert(bytes <= this->used_bytes);
  this->used_bytes -= bytes;
}

void MemoryBudget::SetLimit(uint64_t limit_bytes) {
  this->limit_bytes = limit_bytes;
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget(other.budget), reserved(std::exchange(other.reserved, 0)) {}

MemoryReservation& MemoryReservation::operator=(
    MemoryReservation&& other) noexcept {
  if (this != &other) {
    this->Release();
    this->budget = other.budget;
    this->reserved = std::exchange(other.reserved, 0);
  }
  return *this;
}

bool MemoryReservation::Resize(uint64_t bytes) {
  if (bytes > this->reserved) {
    if (this->budget == nullptr ||
        !this->budget->TryReserve(bytes - this->reserved)) {
      return false;
    }
  } else if (bytes < this->reserved) {
    this->budget->Release(this->reserved - bytes);
  }
  this->reserved = bytes;
  return true;
}

void MemoryReservation::Release() {
  if (this->reserved > 0) {
    this->budget->Release(this->reserved);
    this->reserved = 0;
  }
}

}  // namespace boragepaddle::event
