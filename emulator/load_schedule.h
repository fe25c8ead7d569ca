#ifndef EMULATOR_LOAD_SCHEDULE_H_
#define EMULATOR_LOAD_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "emulator/load_plan.h"

namespace emulator {

/// One request of the open-loop schedule.
struct Arrival {
  /// Time since the start of the run.
  absl::Duration offset;
  size_t operation = 0;
  size_t phase = 0;
};

/// Arrivals of all operations in order of time. Same plan, same arrivals.
class LoadSchedule {
 public:
  explicit LoadSchedule(const LoadPlan& plan);

  /// Next arrival, or nothing after the last phase.
  absl::optional<Arrival> Next();

 private:
  using PendingArrival = std::pair<absl::Duration, size_t>;

  void ScheduleNext(size_t operation, absl::Duration after);
  size_t PhaseAt(absl::Duration offset) const;

  const LoadPlan& plan;
  std::vector<absl::Duration> phase_ends;
  std::priority_queue<PendingArrival,
                      std::vector<PendingArrival>,
                      std::greater<>>
      pending;
  std::mt19937_64 random;
};

}  // namespace emulator

#endif  // EMULATOR_LOAD_SCHEDULE_H_
