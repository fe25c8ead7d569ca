#include "emulator/load_schedule.h"

namespace emulator {

LoadSchedule::LoadSchedule(const LoadPlan& plan)
    : plan(plan), random(plan.seed) {
  absl::Duration end;
  for (const LoadPhase& phase : plan.phases) {
    end += phase.duration;
    this->phase_ends.push_back(end);
  }
  for (size_t index = 0; index < plan.operations.size(); ++index) {
    // Random phase shift, so that operations of equal rate do not arrive at the
    // same instants.
    const double start = std::uniform_real_distribution<>(0, 1)(this->random);
    const double rate = plan.operations[index].rate;
    if (rate > 0) {
      this->ScheduleNext(index, absl::Seconds((start - 1) / rate));
    }
  }
}

absl::optional<Arrival> LoadSchedule::Next() {
  if (this->pending.empty()) {
    return absl::nullopt;
  }
  const auto [offset, operation] = this->pending.top();
  this->pending.pop();
  this->ScheduleNext(operation, offset);
  return Arrival{offset, operation, this->PhaseAt(offset)};
}

void LoadSchedule::ScheduleNext(size_t operation, absl::Duration after) {
  const LoadOperation& rule = this->plan.operations[operation];
  absl::Duration from = after;
  // Remaining time to the next arrival in units of the mean interarrival time.
  // The rate can change at each phase end.
  double remaining = 1.0;
  if (this->plan.poisson) {
    remaining = std::exponential_distribution<>(1.0)(this->random);
  }
  for (size_t phase = this->PhaseAt(from); phase < this->phase_ends.size();
       ++phase) {
    const double factor = rule.surges ? this->plan.phases[phase].factor : 1.0;
    const double rate = rule.rate * factor;
    const absl::Duration end = this->phase_ends[phase];
    const double expected_arrivals = rate * absl::ToDoubleSeconds(end - from);
    if (remaining < expected_arrivals) {
      this->pending.push({from + absl::Seconds(remaining / rate), operation});
      return;
    }
    remaining -= expected_arrivals;
    from = end;
  }
}

size_t LoadSchedule::PhaseAt(absl::Duration offset) const {
  size_t phase = 0;
  while (phase < this->phase_ends.size() && offset >= this->phase_ends[phase]) {
    ++phase;
  }
  return phase;
}

}  // namespace emulator
