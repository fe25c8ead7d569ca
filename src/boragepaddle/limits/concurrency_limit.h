#ifndef BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
#define BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "boragepaddle/base/windowed_minimum.h"

namespace boragepaddle::limits {

/// Settings of the adaptive concurrency limit of the local worker.
struct ConcurrencyLimiterSettings {
  /// Slots that the worker declares; the maximum limit.
  uint32_t slots = 64;
  /// Delay relative to the baseline above which the limit is decreased.
  double decrease_threshold = 2.0;
  /// Relative delay below which the limit is increased.
  double increase_threshold = 1.5;
  /// Minimum time between two changes.
  absl::Duration window = absl::Milliseconds(100);
  /// Minimum number of samples for a change.
  uint32_t window_samples = 10;
  /// Time for which the baseline delay of an operation is remembered.
  absl::Duration baseline_period = absl::Seconds(10);
  /// Pause between decreases after decreases did not reduce the delay.
  absl::Duration decrease_pause = absl::Seconds(2);
  /// Time in which the limit grows back after the worker was lost.
  absl::Duration slow_start = absl::Seconds(5);
};

/// Delay measurements of one operation.
struct OperationDelay {
  base::WindowedMinimum baseline;
  absl::Duration window_sum;
  uint32_t window_count = 0;
};

/// Adaptive concurrency limit of one worker, based on the relative delay.
struct ConcurrencyLimiter {
  ConcurrencyLimiterSettings settings;
  double limit = 0;
  /// Keyed by a hash of the operation. Ordered, so that sums are reproducible.
  absl::btree_map<uint64_t, OperationDelay> operations;
  absl::Time window_start = absl::InfinitePast();
  uint32_t window_count = 0;
  uint32_t window_peak = 0;
  /// Limit and relative delay before the last decrease; 0 if the last change
  /// was not a decrease.
  double limit_before_decrease = 0;
  double ratio_before_decrease = 0;
  /// Limit before the current series of decreases; 0 if there is none.
  double limit_before_decreases = 0;
  absl::Time decrease_paused_until = absl::InfinitePast();
  absl::Time slow_start_from = absl::InfinitePast();
};

ConcurrencyLimiter MakeConcurrencyLimiter(
    const ConcurrencyLimiterSettings& settings);

/// Records a call that ended at the worker. `running` is the number of
/// concurrent calls, this one included.
void OnSample(ConcurrencyLimiter& state,
              uint64_t operation,
              absl::Time started,
              uint32_t running,
              absl::Time now);

/// Called regularly. Increases the limit when few calls run.
void OnTick(ConcurrencyLimiter& state, uint32_t running, absl::Time now);

/// Restarts slow start when the worker answers again after it was lost.
void OnWorkerRecovered(ConcurrencyLimiter& state, absl::Time now);

/// Number of calls that may run now; at least 1.
uint32_t CurrentLimit(const ConcurrencyLimiter& state, absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
