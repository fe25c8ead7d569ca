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
    // Operations of equal rate do not arrive at the same instants.
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
  // The rate can change before the next arrival: what is left of the distance
  // is scaled at each phase end.
  double left = 1.0;
  if (this->plan.poisson) {
    left = std::exponential_distribution<>(1.0)(this->random);
  }
  for (size_t phase = this->PhaseAt(from); phase < this->phase_ends.size();
       ++phase) {
    const double factor = rule.surges ? this->plan.phases[phase].factor : 1.0;
    const double rate = rule.rate * factor;
    const absl::Duration end = this->phase_ends[phase];
    const double passed = rate * absl::ToDoubleSeconds(end - from);
    if (left < passed) {
      this->pending.push({from + absl::Seconds(left / rate), operation});
      return;
    }
    left -= passed;
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
