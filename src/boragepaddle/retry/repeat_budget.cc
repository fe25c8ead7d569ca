#include "boragepaddle/retry/repeat_budget.h"

#include <algorithm>

namespace boragepaddle::retry {

namespace {

int64_t SliceNumber(const RepeatBudgetSettings& settings, absl::Time now) {
  const absl::Duration slice = settings.window / RepeatBudget::kSlices;
  return absl::ToInt64Nanoseconds(now - absl::UnixEpoch()) /
         absl::ToInt64Nanoseconds(slice);
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

bool TakeRepeats(RepeatBudget& budget,
                 const RepeatBudgetSettings& settings,
                 double repeats,
                 size_t nodes,
                 absl::Time now) {
  const int64_t number = SliceNumber(settings, now);
  double requests = 0;
  double taken = repeats;
  for (const RepeatBudget::Slice& slice : budget.slices) {
    if (slice.number > number - static_cast<int64_t>(RepeatBudget::kSlices)) {
      requests += slice.requests;
      taken += slice.repeats;
    }
  }
  const double own_allowance =
      settings.allowance / static_cast<double>(std::max<size_t>(nodes, 1));
  const double limit =
      settings.safety * (settings.ratio * requests + own_allowance);
  if (taken > limit) {
    return false;
  }
  CurrentSlice(budget, number).repeats += repeats;
  return true;
}

}  // namespace boragepaddle::retry
