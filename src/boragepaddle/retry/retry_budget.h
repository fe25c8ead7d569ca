#ifndef BORAGEPADDLE_RETRY_RETRY_BUDGET_H_
#define BORAGEPADDLE_RETRY_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::retry {

/// This node's part of a limit that holds for all nodes together: a share of
/// its own requests, and its part of a fixed allowance.
struct RetryBudgetSettings {
  /// Repeats allowed per request.
  double ratio = 0.2;
  /// Repeats allowed besides, over all nodes.
  double allowance = 0;
  /// Length of any window in which the limit holds.
  absl::Duration window = absl::Seconds(10);
  /// Part of the limit that is used, since nodes count at other moments than
  /// the judge of the limit.
  double safety_factor = 0.8;
  /// Part of the limit that may be used within the newest slices, so that the
  /// start of a fault does not use up what the rest of it needs.
  double burst_share = 0.2;
};

/// Requests and repeats for one service in the last two windows, in slices.
struct RetryBudget {
  static constexpr size_t kSlicesPerWindow = 20;
  static constexpr size_t kSlices = 2 * kSlicesPerWindow;
  /// Slices that count as newest.
  static constexpr size_t kBurstSlices = 2;

  struct Slice {
    int64_t number = -1;
    uint32_t requests = 0;
    double retries = 0;
  };

  std::array<Slice, kSlices> slices;
};

/// Counts the first attempt of a request.
void CountRequest(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  absl::Time now);

/// Counts a repeat that happens in any case, such as a call of a request that
/// is itself repeated.
void CountRetry(RetryBudget& budget,
                const RetryBudgetSettings& settings,
                absl::Time now);

/// True, and counts a repeat, if it fits into `part` (0 to 1) of the share of a
/// node among `nodes`.
bool TryTakeRetry(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  double part,
                  size_t nodes,
                  absl::Time now);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_RETRY_BUDGET_H_
