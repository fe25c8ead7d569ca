#include "boragepaddle/retry/retry_budget.h"

#include <doctest/doctest.h>

#include <vector>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "boragepaddle/retry/fleet_size.h"

namespace boragepaddle::retry {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

TEST_CASE("Retries of all nodes stay within the budget in every window") {
  // Guards against limits per node whose sum exceeds the limit of the fleet.
  constexpr size_t kNodes = 13;
  constexpr double kAllowance = 47;
  RetryBudgetSettings settings;
  settings.allowance = kAllowance;
  std::vector<RetryBudget> nodes(kNodes);
  std::vector<double> requests_at;
  std::vector<double> repeats_at;
  for (int step = 0; step < 4000; ++step) {
    const double now = step * 0.01;
    // Traffic falls to a tenth when the fault starts at 20 s.
    const bool request = now < 20 || step % 10 == 0;
    for (RetryBudget& node : nodes) {
      if (request) {
        CountRequest(node, settings, At(now));
        requests_at.push_back(now);
      }
      if (now >= 20 && TryTakeRetry(node, settings, 1, kNodes, At(now))) {
        repeats_at.push_back(now);
      }
    }
  }
  const auto count = [](const std::vector<double>& times, double from) {
    double total = 0;
    for (const double time : times) {
      total += time >= from && time < from + 10 ? 1 : 0;
    }
    return total;
  };
  CHECK(repeats_at.size() > 1000);
  for (double from = 10; from < 30; from += 0.5) {
    const double requests =
        std::max({count(requests_at, from), count(requests_at, from - 5),
                  count(requests_at, from - 10)});
    CHECK(count(repeats_at, from) <= 0.2 * requests + kAllowance);
  }
}

// Guards against processes that use the allowance of the same window again
// after each restart (rule BUDGET).
TEST_CASE("Restarts do not renew the allowance of the retry budget") {
  constexpr size_t kNodes = 13;
  constexpr double kAllowance = 47;
  RetryBudgetSettings settings;
  settings.allowance = kAllowance;
  std::vector<RetryBudget> nodes(kNodes);
  std::vector<double> retries_at;
  double restarted_at = 0;
  for (double now = 0; now < 60; now += 0.01) {
    if (now - restarted_at >= 3 && now > 25) {
      nodes.assign(kNodes, RetryBudget());
      restarted_at = now;
      settings.allowance_from = At(now) + settings.window;
    }
    for (RetryBudget& node : nodes) {
      if (now > 20 && TryTakeRetry(node, settings, 1, kNodes, At(now))) {
        retries_at.push_back(now);
      }
    }
  }
  REQUIRE(!retries_at.empty());
  for (double from = 20; from < 50; from += 0.5) {
    CHECK(absl::c_count_if(retries_at, [from](double at) {
            return at >= from && at < from + 10;
          }) <= kAllowance);
  }
}

// Guards against nodes whose shares of the allowance add up to more than the
// allowance because fewer workers are listed than nodes send requests (rule
// BUDGET).
TEST_CASE("Nodes whose workers are not listed count for the retry budget") {
  constexpr size_t kNodes = 13;
  constexpr double kAllowance = 47;
  RetryBudgetSettings settings;
  settings.allowance = kAllowance;
  catalog::WorkerDirectory directory;
  FleetSize fleet;
  for (size_t index = 0; index < kNodes; ++index) {
    catalog::WorkerEntry entry;
    entry.instance = absl::StrCat("i-", index);
    entry.host = absl::StrCat("10.1.0.", index);
    directory.entries[entry.instance] = entry;
  }
  OnDirectoryChanged(fleet, directory, At(0));
  // The workers of most nodes crash, and their entries expire.
  while (directory.entries.size() > 3) {
    directory.entries.erase(directory.entries.begin());
  }
  OnDirectoryChanged(fleet, directory, At(1));
  std::vector<RetryBudget> nodes(kNodes);
  size_t retries = 0;
  for (double now = 1; now < 10; now += 0.01) {
    for (RetryBudget& node : nodes) {
      retries +=
          TryTakeRetry(node, settings, 1, CountNodes(fleet), At(now)) ? 1 : 0;
    }
  }
  CHECK(static_cast<double>(retries) <= kAllowance);
  directory.entries.clear();
  OnDirectoryChanged(fleet, directory,
                     At(1) + 2 * FleetSizeSettings().retention);
  CHECK(CountNodes(fleet) <= 3);
}

TEST_CASE("A burst of retries does not use up the budget of the whole window") {
  RetryBudgetSettings settings;
  RetryBudget budget;
  for (int step = 0; step < 1000; ++step) {
    CountRequest(budget, settings, At(step * 0.01));
  }
  int first_half_second = 0;
  while (TryTakeRetry(budget, settings, 1, 1, At(10.0))) {
    ++first_half_second;
  }
  CHECK(first_half_second > 10);
  CHECK(TryTakeRetry(budget, settings, 1, 1, At(11.5)));
}

TEST_CASE("Retries that bypass the budget are still counted") {
  RetryBudgetSettings settings;
  settings.allowance = 5;
  settings.safety_factor = 1;
  settings.burst_share = 1;
  RetryBudget budget;
  for (int repeat = 0; repeat < 5; ++repeat) {
    CountRetry(budget, settings, At(0));
  }
  CHECK_FALSE(TryTakeRetry(budget, settings, 1, 1, At(0)));
}

}  // namespace
}  // namespace boragepaddle::retry
