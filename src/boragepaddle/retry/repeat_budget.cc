#include "boragepaddle/retry/repeat_budget.h"

#include <algorithm>

namespace boragepaddle::retry {

namespace {

int64_t SliceNumber(const RepeatBudgetSettings& settings, absl::Time now) {
  const absl::Duration slice = settings.window / RepeatBudget::kSlicesPerWindow;
  return absl::ToInt64Nanoseconds(now - absl::UnixEpoch()) /
         absl::ToInt64Nanoseconds(slice);
}

bool IsInWindow(const RepeatBudget::Slice& slice, int64_t last) {
  return slice.number <= last &&
         slice.number >
             last - static_cast<int64_t>(RepeatBudget::kSlicesPerWindow);
}

/// Requests in the window that ends with the slice.
double RequestsUntil(const RepeatBudget& budget, int64_t last) {
  double requests = 0;
  for (const RepeatBudget::Slice& slice : budget.slices) {
    requests += IsInWindow(slice, last) ? slice.requests : 0;
  }
  return requests;
}

/// Repeats in the last `count` slices up to `last`.
double Repeats(const RepeatBudget& budget, int64_t last, size_t count) {
  double repeats = 0;
  for (const RepeatBudget::Slice& slice : budget.slices) {
    const bool counts = slice.number > last - static_cast<int64_t>(count);
    repeats += counts ? slice.repeats : 0;
  }
  return repeats;
}

RepeatBudget::Slice& CurrentSlice(RepeatBudget& budget, int64_t number) {
  RepeatBudget::Slice& slice =
      budget.slices[static_cast<size_t>(number) % RepeatBudget::kSlices];
  if (slice.number != number) {
    slice = RepeatBudget::Slice{number, 0, 0};
  }
  return slice;
}

}  // namespace

void CountRequest(RepeatBudget& budget,
                  const RepeatBudgetSettings& settings,
                  absl::Time now) {
  ++CurrentSlice(budget, SliceNumber(settings, now)).requests;
}

void CountRepeat(RepeatBudget& budget,
                 const RepeatBudgetSettings& settings,
                 absl::Time now) {
  CurrentSlice(budget, SliceNumber(settings, now)).repeats += 1;
}

bool TakeRepeat(RepeatBudget& budget,
                const RepeatBudgetSettings& settings,
                double part,
                size_t nodes,
                absl::Time now) {
  const int64_t number = SliceNumber(settings, now);
  const double taken =
      Repeats(budget, number, RepeatBudget::kSlicesPerWindow) + 1;
  const double taken_newest =
      Repeats(budget, number, RepeatBudget::kNewestSlices) + 1;
  // A fault that needs repeats also lowers the number of requests, so the
  // window before, and the one half a window before, count as well.
  constexpr int64_t kWindow = RepeatBudget::kSlicesPerWindow;
  const double requests = std::max({RequestsUntil(budget, number),
                                    RequestsUntil(budget, number - kWindow / 2),
                                    RequestsUntil(budget, number - kWindow)});
  const double own_allowance =
      settings.allowance / static_cast<double>(std::max<size_t>(nodes, 1));
  const double limit =
      part * settings.safety * (settings.ratio * requests + own_allowance);
  const double newest_limit = std::max(1.0, limit * settings.newest_part);
  if (taken > limit || taken_newest > newest_limit) {
    return false;
  }
  CurrentSlice(budget, number).repeats += 1;
  return true;
}

}  // namespace boragepaddle::retry
