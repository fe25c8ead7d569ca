#ifndef BORAGEPADDLE_RETRY_RETRY_BUDGET_H_
#define BORAGEPADDLE_RETRY_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::retry {

/// Settings of this node's part of a retry budget that applies to all nodes
/// together: a share of its own requests, and its part of a fixed allowance.
struct RetryBudgetSettings {
  /// Retries allowed per request.
  double ratio = 0.2;
  /// Additional retries allowed per window, over all nodes.
  double allowance = 0;
  /// Time from which on the allowance is available: one window after the start
  /// of the process, since an earlier process may have used it in this window.
  absl::Time allowance_from = absl::InfinitePast();
  /// Length of the sliding window in which the limit holds.
  absl::Duration window = absl::Seconds(10);
  /// Share of the limit that is used. Leaves a margin, since the limit is
  /// checked over windows that start at other times than this node's slices.
  double safety_factor = 0.8;
  /// Share of the limit that may be used within the newest slices, so that the
  /// start of a failure does not exhaust the budget for the rest of it.
  double burst_share = 0.2;
};

/// Requests and retries for one service in the last two windows, in slices.
struct RetryBudget {
  static constexpr size_t kSlicesPerWindow = 20;
  static constexpr size_t kSlices = 2 * kSlicesPerWindow;
  /// Number of slices to which burst_share applies.
  static constexpr size_t kBurstSlices = 2;

  struct Slice {
    int64_t number = -1;
    uint32_t requests = 0;
    double retries = 0;
  };

  std::array<Slice, kSlices> slices;
};

/// Records the first attempt of a request.
void CountRequest(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  absl::Time now);

/// Records a retry that is sent regardless of the budget, such as a call of a
/// request that is itself a retry.
void CountRetry(RetryBudget& budget,
                const RetryBudgetSettings& settings,
                absl::Time now);

/// Records a retry and returns true if it fits into `part` (0 to 1) of the
/// share of one of `nodes` nodes.
bool TryTakeRetry(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  double part,
                  size_t nodes,
                  absl::Time now);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_RETRY_BUDGET_H_
