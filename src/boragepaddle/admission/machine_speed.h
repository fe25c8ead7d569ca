#ifndef BORAGEPADDLE_ADMISSION_MACHINE_SPEED_H_
#define BORAGEPADDLE_ADMISSION_MACHINE_SPEED_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/admission/worker_load.h"

namespace boragepaddle::admission {

/// Settings of the estimate of a machine's speed. Speeds are times that work
/// takes, relative to the usual: 2 is half as fast.
struct MachineSpeedSettings {
  /// Time constant of the smoothed speed that other nodes see. Long against a
  /// slow spell, so that a spell which is over when the report arrives hardly
  /// shows in it.
  absl::Duration smoothing = absl::Seconds(5);
  /// Time constant of the steady speed, which leaves out slow spells.
  absl::Duration steady_smoothing = absl::Seconds(3);
  /// A speed above the steady one by this factor is a slow spell. Spells are
  /// about 2.5 times slower; other variation is smaller.
  double spell_factor = 1.6;
  /// Usual length of a slow spell.
  absl::Duration spell_length = absl::Milliseconds(600);
  /// Slowness that lasts longer is no spell and changes the steady speed.
  absl::Duration max_spell = absl::Seconds(2);
  /// Workers are slow for this long after their start.
  absl::Duration cold_time = absl::Seconds(3);
  /// Age up to which a figure is taken as the present speed. A worker under
  /// load answers many times in this interval.
  absl::Duration max_age = absl::Milliseconds(300);
  /// Steady speed from which the machine counts as slow.
  double slow_factor = 1.15;
  /// Share of the worker's slots in use from which it slows down by itself.
  double full_share = 0.95;
};

/// Cause of the present speed of a worker.
enum class SpeedKind {
  /// The worker reports no speed.
  kUnknown,
  kUsual,
  /// The machine is always slow.
  kSteadySlow,
  /// The machine is slow for a moment.
  kSlowSpell,
  kColdStart,
  /// The worker is slow because nearly all of its slots are in use.
  kFull,
};

absl::string_view ToString(SpeedKind kind);

/// Speed of the worker's machine according to the worker's responses.
struct MachineSpeed {
  MachineSpeedSettings settings;
  /// When the figures below were last updated; infinite past without any.
  absl::Time updated = absl::InfinitePast();
  /// Time of the first figure that counted for the averages.
  absl::Time averaged_from = absl::InfiniteFuture();
  /// Last speed that the worker reported, smoothed speed, and speed outside
  /// slow spells.
  double last = 1;
  double smoothed = 1;
  double steady = 1;
  /// Since when the speed has been above spell_factor; infinite future if it is
  /// not.
  absl::Time slow_since = absl::InfiniteFuture();
  absl::Time cold_until = absl::InfinitePast();
  /// The worker's slots are nearly all in use.
  bool is_full = false;
  /// Work done since the first figure, as time at the usual speed.
  absl::Duration work;
};

/// Forgets the speed: another worker process runs now, which started `age` ago.
void ResetSpeed(MachineSpeed& speed, absl::Duration age, absl::Time now);

/// Records the speed figure of a response; figures without a speed are ignored.
void RecordSpeed(MachineSpeed& speed,
                 const WorkerLoadFigures& figures,
                 absl::Time now);

/// True if the worker has reported a speed.
bool IsKnown(const MachineSpeed& speed);

/// Speed at `now`: the last one, or the steady one when that is too old.
double PresentSpeed(const MachineSpeed& speed, absl::Time now);

SpeedKind KindOfSpeed(const MachineSpeed& speed, absl::Time now);

/// Work that the machine has done by `now`, as time at the usual speed. The
/// difference of two values is the work between them.
absl::Duration WorkUntil(const MachineSpeed& speed, absl::Time now);

/// Time that work which starts now takes. A slow spell is expected to end after
/// its usual length.
absl::Duration TimeForWork(const MachineSpeed& speed,
                           absl::Duration work,
                           absl::Time now);

/// Smoothed speed in percent, as in GateLoad; 0 if unknown.
uint32_t SmoothedPercent(const MachineSpeed& speed);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_MACHINE_SPEED_H_
