#ifndef BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
#define BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "boragepaddle/base/recent_minimum.h"

namespace boragepaddle::limits {

/// Limit on the requests that the local worker runs at once.
struct LimitSettings {
  /// Slots that the worker declares: the highest limit.
  uint32_t slots = 64;
  /// Delay, relative to the usual one, above which the limit is lowered.
  double lower_above = 2.0;
  /// Relative delay below which the limit is raised.
  double raise_below = 1.5;
  /// Shortest time between two changes.
  absl::Duration window = absl::Milliseconds(100);
  /// Fewest samples that a change is based on.
  uint32_t window_samples = 10;
  /// Time over which the usual delay of an operation is remembered.
  absl::Duration baseline_period = absl::Seconds(10);
  /// Pause after the limit was lowered in vain.
  absl::Duration hold = absl::Seconds(2);
  /// Time for the limit to grow back after the worker was lost.
  absl::Duration slow_start = absl::Seconds(5);
};

/// Delays of one operation.
struct OperationDelay {
  base::RecentMinimum baseline;
  absl::Duration window_sum;
  uint32_t window_count = 0;
};

/// State of the limit.
struct LimitState {
  LimitSettings settings;
  double limit = 0;
  /// By a hash of the operation. Ordered, so that sums are reproducible.
  absl::btree_map<uint64_t, OperationDelay> operations;
  absl::Time window_start = absl::InfinitePast();
  uint32_t window_count = 0;
  uint32_t window_peak = 0;
  /// Limit and relative delay before the last lowering; 0 if the last change
  /// was none.
  double lowered_from = 0;
  double lowered_at_ratio = 0;
  /// Limit before the first of a row of lowerings.
  double descent_start = 0;
  absl::Time hold_until = absl::InfinitePast();
  absl::Time slow_start_from = absl::InfinitePast();
};

LimitState MakeLimit(const LimitSettings& settings);

/// A call of the operation ended at the worker. `running` is the number of
/// calls that ran, this one included.
void OnSample(LimitState& state,
              uint64_t operation,
              absl::Time started,
              uint32_t running,
              absl::Time now);

/// Regular call. Raises the limit when few calls run.
void OnTick(LimitState& state, uint32_t running, absl::Time now);

/// The worker answers again after it was lost.
void OnWorkerBack(LimitState& state, absl::Time now);

/// Calls that may run now; at least 1.
uint32_t CurrentLimit(const LimitState& state, absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CONCURRENCY_LIMIT_H_
