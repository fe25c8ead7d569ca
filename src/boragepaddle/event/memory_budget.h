#ifndef BORAGEPADDLE_EVENT_MEMORY_BUDGET_H_
#define BORAGEPADDLE_EVENT_MEMORY_BUDGET_H_

#include <cstdint>

namespace boragepaddle::event {

/// Limit on the bytes that a process holds for requests and responses, shared
/// by all of its connections. Used on the event loop only.
class MemoryBudget {
 public:
  explicit MemoryBudget(uint64_t limit_bytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Counts the bytes as used; false, with no effect, if they exceed the limit.
  bool TryReserve(uint64_t bytes);
  void Release(uint64_t bytes);
  /// Changes the limit. Bytes in use stay reserved, even above the new limit.
  void SetLimit(uint64_t limit_bytes);

  uint64_t used() const { return this->used_bytes; }
  uint64_t limit() const { return this->limit_bytes; }

 private:
  uint64_t limit_bytes;
  uint64_t used_bytes = 0;
};

/// Bytes of a budget that are released at the end of the object's life. The
/// budget must outlive it.
class MemoryReservation {
 public:
  /// Holds nothing and has no budget; only for later assignment.
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget& budget) : budget(&budget) {}
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  ~MemoryReservation() { this->Release(); }

  /// Changes the number of reserved bytes; false, with no effect, if the budget
  /// has no room. Shrinking always succeeds.
  bool Resize(uint64_t bytes);
  void Release();
  uint64_t bytes() const { return this->reserved; }

 private:
  MemoryBudget* budget = nullptr;
  uint64_t reserved = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_MEMORY_BUDGET_H_
