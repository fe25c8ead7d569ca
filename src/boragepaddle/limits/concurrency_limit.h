#ifndef BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
#define BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "boragepaddle/base/windowed_minimum.h"

namespace boragepaddle::limits {

/// Limit on the requests that the local worker runs at once.
struct ConcurrencyLimiterSettings {
  /// Slots that the worker declares: the highest limit.
  uint32_t slots = 64;
  /// Delay, relative to the usual one, above which the limit is lowered.
  double decrease_threshold = 2.0;
  /// Relative delay below which the limit is raised.
  double increase_threshold = 1.5;
  /// Shortest time between two changes.
  absl::Duration window = absl::Milliseconds(100);
  /// Fewest samples that a change is based on.
  uint32_t window_samples = 10;
  /// Time over which the usual delay of an operation is remembered.
  absl::Duration baseline_period = absl::Seconds(10);
  /// Pause after the limit was lowered in vain.
  absl::Duration decrease_pause = absl::Seconds(2);
  /// Time for the limit to grow back after the worker was lost.
  absl::Duration slow_start = absl::Seconds(5);
};

/// Delays of one operation.
struct OperationDelay {
  base::WindowedMinimum baseline;
  absl::Duration window_sum;
  uint32_t window_count = 0;
};

/// State of the limit.
struct ConcurrencyLimiter {
  ConcurrencyLimiterSettings settings;
  double limit = 0;
  /// By a hash of the operation. Ordered, so that sums are reproducible.
  absl::btree_map<uint64_t, OperationDelay> operations;
  absl::Time window_start = absl::InfinitePast();
  uint32_t window_count = 0;
  uint32_t window_peak = 0;
  /// Limit and relative delay before the last lowering; 0 if the last change
  /// was none.
  double limit_before_decrease = 0;
  double ratio_before_decrease = 0;
  /// Limit before the first of a row of lowerings.
  double limit_before_decreases = 0;
  absl::Time decrease_paused_until = absl::InfinitePast();
  absl::Time slow_start_from = absl::InfinitePast();
};

ConcurrencyLimiter MakeConcurrencyLimiter(
    const ConcurrencyLimiterSettings& settings);

/// A call of the operation ended at the worker. `running` is the number of
/// calls that ran, this one included.
void OnSample(ConcurrencyLimiter& state,
              uint64_t operation,
              absl::Time started,
              uint32_t running,
              absl::Time now);

/// Regular call. Raises the limit when few calls run.
void OnTick(ConcurrencyLimiter& state, uint32_t running, absl::Time now);

/// The worker answers again after it was lost.
void OnWorkerRecovered(ConcurrencyLimiter& state, absl::Time now);

/// Calls that may run now; at least 1.
uint32_t CurrentLimit(const ConcurrencyLimiter& state, absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
