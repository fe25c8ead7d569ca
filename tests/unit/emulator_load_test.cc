#include <doctest/doctest.h>

#include <vector>

#include "emulator/load_plan.h"
#include "emulator/load_report.h"
#include "emulator/load_schedule.h"

namespace emulator {
namespace {

constexpr absl::Duration kWindow = absl::Milliseconds(200);

std::vector<Arrival> AllArrivals(const LoadPlan& plan) {
  LoadSchedule schedule(plan);
  std::vector<Arrival> arrivals;
  while (const auto arrival = schedule.Next()) {
    arrivals.push_back(*arrival);
  }
  return arrivals;
}

LoadPlan StepPlan() {
  LoadPlan plan;
  plan.phases = {{"before", absl::Seconds(1), 1.0},
                 {"surge", absl::Seconds(2), 5.0},
                 {"after", absl::Seconds(1), 1.0}};
  plan.operations.resize(2);
  plan.operations[0].rate = 100;
  plan.operations[1].rate = 10;
  plan.operations[1].surges = false;
  return plan;
}

// Guards against a step that changes the rate only after the next arrival,
// and against a factor that reaches operations that do not surge.
TEST_CASE("schedule follows the rates of its phases") {
  std::vector<size_t> counts(6);
  for (const Arrival& arrival : AllArrivals(StepPlan())) {
    ++counts[arrival.phase * 2 + arrival.operation];
  }
  CHECK(counts[0] == doctest::Approx(100).epsilon(0.02));
  CHECK(counts[2] == doctest::Approx(1000).epsilon(0.002));
  CHECK(counts[4] == doctest::Approx(100).epsilon(0.02));
  CHECK(counts[1] == doctest::Approx(10).epsilon(0.1));
  CHECK(counts[3] == doctest::Approx(20).epsilon(0.05));
}

// Guards against runs that cannot be repeated.
TEST_CASE("same plan gives the same Poisson arrivals in order of time") {
  LoadPlan plan = StepPlan();
  plan.poisson = true;
  const std::vector<Arrival> first = AllArrivals(plan);
  const std::vector<Arrival> second = AllArrivals(plan);
  REQUIRE(first.size() == second.size());
  for (size_t index = 1; index < first.size(); ++index) {
    CHECK(first[index].offset == second[index].offset);
    CHECK(first[index - 1].offset <= first[index].offset);
  }
}

std::vector<WindowResult> Series(const std::vector<uint64_t>& in_time) {
  std::vector<WindowResult> windows;
  windows.reserve(in_time.size());
  for (const uint64_t count : in_time) {
    windows.push_back({100, count});
  }
  return windows;
}

TEST_CASE("recovery starts at the first of the sustained good windows") {
  const auto windows =
      Series({100, 100, 20, 20, 50, 100, 60, 99, 100, 100, 100, 100});
  const auto time = RecoveryTime(windows, kWindow, 2, 4);
  REQUIRE(time.has_value());
  CHECK(*time == 3 * kWindow);
}

// Guards against a recovery that is reported although goodput fell again
// within a second.
TEST_CASE("no recovery is reported when goodput is not sustained") {
  const auto windows = Series({100, 100, 20, 100, 100, 100, 100, 20, 100});
  CHECK_FALSE(RecoveryTime(windows, kWindow, 2, 3).has_value());
}

TEST_CASE("a plan without entries is refused") {
  const auto plan = ParseLoadPlan(
      R"({"phases": [{"seconds": 1}], "operations": [{"rate": 1}]})");
  REQUIRE_FALSE(plan.has_value());
  CHECK(plan.error() == LoadPlanError::kNothingToSend);
}

}  // namespace
}  // namespace emulator
