#include "boragepaddle/retry/retry_budget.h"

#include <algorithm>
#include <array>

namespace boragepaddle::retry {

namespace {

int64_t SliceNumber(const RetryBudgetSettings& settings, absl::Time now) {
  const absl::Duration slice = settings.window / RetryBudget::kSlicesPerWindow;
  return absl::ToInt64Nanoseconds(now - absl::UnixEpoch()) /
         absl::ToInt64Nanoseconds(slice);
}

constexpr int64_t kWindow = RetryBudget::kSlicesPerWindow;
constexpr int64_t kHistory = RetryBudget::kSlices;

/// Prefix sums over the history, oldest slice first: element i is the sum of
/// the first i slices.
struct History {
  std::array<double, kHistory + 1> requests{};
  std::array<double, kHistory + 1> retries{};
};

History MakeHistory(const RetryBudget& budget, int64_t newest) {
  History history;
  for (int64_t index = 0; index < kHistory; ++index) {
    const int64_t number = newest - kHistory + 1 + index;
    const RetryBudget::Slice& slice =
        budget.slices[static_cast<size_t>(number) % RetryBudget::kSlices];
    const bool valid = slice.number == number;
    history.requests[index + 1] =
        history.requests[index] + (valid ? slice.requests : 0);
    history.retries[index + 1] =
        history.retries[index] + (valid ? slice.retries : 0);
  }
  return history;
}

/// Requests that the limit refers to for a window that begins after `start`
/// slices of the history: the maximum of the window so far, the window before,
/// and the window that began half a window earlier.
double RequestsFor(const History& history, int64_t start) {
  const auto between = [&](int64_t from, int64_t to) {
    return history.requests[std::min(to, kHistory)] -
           history.requests[std::max<int64_t>(from, 0)];
  };
  return std::max({between(start, start + kWindow),
                   between(start - kWindow / 2, start + kWindow / 2),
                   between(start - kWindow, start)});
}

RetryBudget::Slice& CurrentSlice(RetryBudget& budget, int64_t number) {
  RetryBudget::Slice& slice =
      budget.slices[static_cast<size_t>(number) % RetryBudget::kSlices];
  if (slice.number != number) {
    slice = RetryBudget::Slice{number, 0, 0};
  }
  return slice;
}

}  // namespace

void CountRequest(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  absl::Time now) {
  ++CurrentSlice(budget, SliceNumber(settings, now)).requests;
}

void CountRetry(RetryBudget& budget,
                const RetryBudgetSettings& settings,
                absl::Time now) {
  CurrentSlice(budget, SliceNumber(settings, now)).retries += 1;
}

bool TryTakeRetry(RetryBudget& budget,
                  const RetryBudgetSettings& settings,
                  double part,
                  size_t nodes,
                  absl::Time now) {
  const int64_t number = SliceNumber(settings, now);
  const History history = MakeHistory(budget, number);
  const double own_allowance =
      now < settings.allowance_from
          ? 0
          : settings.allowance /
                static_cast<double>(std::max<size_t>(nodes, 1));
  const double used = part * settings.safety_factor;
  // The retry counts against every window that includes the current slice.
  for (int64_t start = kHistory - kWindow; start < kHistory; ++start) {
    const double limit =
        used * (settings.ratio * RequestsFor(history, start) + own_allowance);
    const double taken = history.retries[kHistory] - history.retries[start] + 1;
    const bool newest =
        start >= kHistory - static_cast<int64_t>(RetryBudget::kBurstSlices);
    const double bound =
        newest ? std::max(1.0, limit * settings.burst_share) : limit;
    if (taken > bound) {
      return false;
    }
  }
  CurrentSlice(budget, number).retries += 1;
  return true;
}

}  // namespace boragepaddle::retry
