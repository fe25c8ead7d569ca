#ifndef EMULATOR_SLOT_GATE_H_
#define EMULATOR_SLOT_GATE_H_

#include <cstddef>
#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace emulator {

enum class SlotResult : uint8_t { kTaken, kQueueFull, kTimeout };

struct SlotUse {
  size_t in_flight = 0;
  size_t peak_in_flight = 0;
  size_t waiting = 0;
};

/// Concurrency slots of a fake worker, with a bounded number of waiting
/// requests.
class SlotGate {
 public:
  explicit SlotGate(size_t slots);

  /// Waits for a slot until the deadline.
  SlotResult Take(size_t max_waiting, absl::Time deadline);
  void Release();
  void SetSlots(size_t slots);
  SlotUse Use() const;

 private:
  bool HasFreeSlot() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  size_t slots ABSL_GUARDED_BY(mutex);
  SlotUse use ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_SLOT_GATE_H_
