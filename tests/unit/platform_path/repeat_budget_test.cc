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

/// Times within a window from `from` on.
double CountIn(const std::vector<double>& times, double from) {
  return static_cast<double>(absl::c_count_if(
      times, [from](double at) { return at >= from && at < from + 10; }));
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
  CHECK(repeats_at.size() > 1000);
  for (double from = 10; from < 30; from += 0.5) {
    const double requests =
        std::max({CountIn(requests_at, from), CountIn(requests_at, from - 5),
                  CountIn(requests_at, from - 10)});
    CHECK(CountIn(repeats_at, from) <= 0.2 * requests + kAllowance);
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

// Guards against nodes that each take the best of several windows, so that the
// sum exceeds the limit of every window when clients move from node to node
// (rule BUDGET).
TEST_CASE("Clients that move between nodes do not raise the retry budget") {
  constexpr size_t kNodes = 12;
  constexpr double kAllowance = 47;
  constexpr double kStep = 0.01;
  for (const double period : {3.0, 5.0, 7.5, 10.0}) {
    for (const double fails_from : {20.0, 22.5, 25.0, 27.5}) {
      RetryBudgetSettings settings;
      settings.allowance = kAllowance;
      std::vector<RetryBudget> nodes(kNodes);
      std::vector<double> requests_at;
      std::vector<double> repeats_at;
      for (double now = 0; now < 50; now += kStep) {
        // One half of the nodes after the other has all clients.
        const size_t first =
            static_cast<size_t>(now / period) % 2 == 0 ? 0 : kNodes / 2;
        for (size_t index = first; index < first + kNodes / 2; ++index) {
          CountRequest(nodes[index], settings, At(now));
          requests_at.push_back(now);
          if (now >= fails_from &&
              TryTakeRetry(nodes[index], settings, 1, kNodes, At(now))) {
            repeats_at.push_back(now);
          }
        }
      }
      double worst = 0;
      for (double from = 20; from < 40; from += 0.25) {
        const double requests = std::max({CountIn(requests_at, from),
                                          CountIn(requests_at, from - 5),
                                          CountIn(requests_at, from - 10)});
        worst = std::max(
            worst, CountIn(repeats_at, from) / (0.2 * requests + kAllowance));
      }
      CAPTURE(period);
      CAPTURE(fails_from);
      CHECK(worst <= 1);
      // Most of the budget remains usable.
      CHECK(worst >= 0.5);
    }
  }
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
