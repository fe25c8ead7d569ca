#include "boragepaddle/admission/machine_speed.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::admission {

namespace {

constexpr double kPercent = 100;

/// Bounds on reported speeds, so that a wrong figure cannot stop all calls.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 20;

/// Least share of the usual length that a slow spell is expected to go on.
constexpr double kMinSpellRest = 0.25;

/// Weight of a figure that holds for `step`. Averages over less than the time
/// constant are plain means, so that the first figure does not dominate.
double Weight(const MachineSpeed& speed,
              absl::Duration step,
              absl::Duration time_constant) {
  const absl::Duration known = speed.updated - speed.averaged_from;
  const absl::Duration span = std::min(time_constant, known + step);
  return span <= absl::ZeroDuration()
             ? 0
             : 1 - std::exp(-absl::FDivDuration(step, span));
}

bool IsSpell(const MachineSpeed& speed, absl::Time now) {
  return speed.slow_since != absl::InfiniteFuture() &&
         now - speed.slow_since < speed.settings.max_spell &&
         now - speed.updated < speed.settings.max_age;
}

}  // namespace

absl::string_view ToString(SpeedKind kind) {
  switch (kind) {
    case SpeedKind::kUnknown:
      return "unknown";
    case SpeedKind::kUsual:
      return "usual";
    case SpeedKind::kSteadySlow:
      return "steady_slow";
    case SpeedKind::kSlowSpell:
      return "slow_spell";
    case SpeedKind::kColdStart:
      return "cold_start";
    case SpeedKind::kFull:
      return "full";
  }
  return "unknown";
}

void ResetSpeed(MachineSpeed& speed, absl::Duration age, absl::Time now) {
  const MachineSpeedSettings settings = speed.settings;
  speed = MachineSpeed();
  speed.settings = settings;
  // The clocks of the worker's start time and of this node may differ.
  speed.cold_until =
      now + (settings.cold_time - std::max(age, absl::ZeroDuration()));
}

void RecordSpeed(MachineSpeed& speed,
                 const WorkerLoadFigures& figures,
                 absl::Time now) {
  if (figures.speed_percent == 0) {
    return;
  }
  const MachineSpeedSettings& settings = speed.settings;
  const double value =
      std::clamp(figures.speed_percent / kPercent, kMinSpeed, kMaxSpeed);
  speed.is_full =
      figures.running + figures.waiting > settings.full_share * figures.slots;
  const bool is_cold = now < speed.cold_until;
  if (!IsKnown(speed)) {
    speed.updated = now;
    speed.last = value;
    // The speed of a cold or full worker says little about its machine.
    speed.smoothed = is_cold || speed.is_full ? 1 : value;
    speed.steady = speed.smoothed;
    return;
  }
  const absl::Duration step =
      std::max(now - speed.updated, absl::ZeroDuration());
  speed.work = WorkUntil(speed, now);
  const bool is_gap = step > settings.max_age;
  speed.updated = std::max(speed.updated, now);
  speed.last = value;
  if (is_cold) {
    return;
  }
  speed.averaged_from = std::min(speed.averaged_from, now);
  const absl::Duration counted = std::min(step, settings.max_age);
  speed.smoothed +=
      (value - speed.smoothed) * Weight(speed, counted, settings.smoothing);
  const bool is_slow = value > speed.steady * settings.spell_factor;
  if (!is_slow) {
    speed.slow_since = absl::InfiniteFuture();
  } else if (is_gap || speed.slow_since == absl::InfiniteFuture()) {
    speed.slow_since = now;
  }
  // A full worker is slow by its own load, and a spell passes.
  const bool is_rise = value > speed.steady;
  if ((is_rise && speed.is_full) || (is_slow && IsSpell(speed, now))) {
    return;
  }
  speed.steady += (value - speed.steady) *
                  Weight(speed, counted, settings.steady_smoothing);
}

bool IsKnown(const MachineSpeed& speed) {
  return speed.updated != absl::InfinitePast();
}

double PresentSpeed(const MachineSpeed& speed, absl::Time now) {
  return now - speed.updated < speed.settings.max_age ? speed.last
                                                      : speed.steady;
}

SpeedKind KindOfSpeed(const MachineSpeed& speed, absl::Time now) {
  if (!IsKnown(speed)) {
    return SpeedKind::kUnknown;
  }
  const double present = PresentSpeed(speed, now);
  const double slow = speed.settings.slow_factor;
  if (now < speed.cold_until && present > slow) {
    return SpeedKind::kColdStart;
  }
  if (IsSpell(speed, now)) {
    return SpeedKind::kSlowSpell;
  }
  if (speed.is_full && present > speed.steady * slow) {
    return SpeedKind::kFull;
  }
  return speed.steady > slow ? SpeedKind::kSteadySlow : SpeedKind::kUsual;
}

absl::Duration WorkUntil(const MachineSpeed& speed, absl::Time now) {
  if (!IsKnown(speed)) {
    return absl::ZeroDuration();
  }
  const absl::Duration step =
      std::max(now - speed.updated, absl::ZeroDuration());
  const absl::Duration fresh = std::min(step, speed.settings.max_age);
  return speed.work + fresh / speed.last + (step - fresh) / speed.steady;
}

absl::Duration TimeForWork(const MachineSpeed& speed,
                           absl::Duration work,
                           absl::Time now) {
  const double present = PresentSpeed(speed, now);
  const absl::Duration at_present = work * present;
  if (KindOfSpeed(speed, now) != SpeedKind::kSlowSpell) {
    return at_present;
  }
  const absl::Duration usual = speed.settings.spell_length;
  const absl::Duration rest =
      std::max(usual - (now - speed.slow_since), usual * kMinSpellRest);
  if (at_present <= rest) {
    return at_present;
  }
  return rest + (work - rest / present) * speed.steady;
}

uint32_t SmoothedPercent(const MachineSpeed& speed) {
  return IsKnown(speed)
             ? static_cast<uint32_t>(std::lround(speed.smoothed * kPercent))
             : 0;
}

}  // namespace boragepaddle::admission
