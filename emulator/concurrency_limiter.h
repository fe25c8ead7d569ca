#ifndef EMULATOR_CONCURRENCY_LIMITER_H_
#define EMULATOR_CONCURRENCY_LIMITER_H_

#include <cstddef>
#include <cstdint>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace emulator {

enum class AcquireResult : uint8_t { kAcquired, kQueueFull, kTimeout };

struct ConcurrencyStats {
  size_t in_flight = 0;
  size_t peak_in_flight = 0;
  size_t waiting = 0;
};

/// Concurrency slots of a fake worker, with a bounded number of waiting
/// requests.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(size_t slots);

  /// Waits for a slot until the deadline.
  AcquireResult Acquire(size_t max_waiting, absl::Time deadline);
  void Release();
  void SetSlots(size_t slots);
  ConcurrencyStats Stats() const;

 private:
  bool HasFreeSlot() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  size_t slots ABSL_GUARDED_BY(mutex);
  ConcurrencyStats stats ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_CONCURRENCY_LIMITER_H_
