#ifndef BORAGEPADDLE_ADMISSION_GRANT_H_
#define BORAGEPADDLE_ADMISSION_GRANT_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace boragepaddle::admission {

/// Control of the grant of one worker.
struct GrantSettings {
  /// Offered load that is aimed at; 1 would keep every slot busy.
  double target = 0.92;
  /// Below this load nobody is held back, and the grant returns to its rest.
  double idle = 0.6;
  double rest = 1.35;
  double min_grant = 0.05;
  double max_grant = 2.0;
  /// Pace of the control.
  absl::Duration interval = absl::Milliseconds(200);
  /// Arrivals are counted over this time.
  absl::Duration window = absl::Milliseconds(400);
  /// A queue counts as load that is to be worked off in this time.
  absl::Duration drain = absl::Milliseconds(300);
  /// Largest steps down and up.
  double max_cut = 0.75;
  double max_growth = 1.1;
  /// Part of the limit on repeats that refusals by the worker may use up.
  double repeat_part = 0.85;
  double repeat_ratio = 0.2;
  /// Requests that the limit on repeats refers to are counted over this time;
  /// the limit looks back over two such windows, so a fall shows later.
  absl::Duration repeat_window = absl::Seconds(10);
  absl::Duration repeat_memory = absl::Seconds(30);
};

/// What happened at a worker since the last update.
struct GrantInput {
  /// Calls that asked for a slot for the first time.
  uint32_t arrivals = 0;
  /// Calls that the worker itself refused.
  uint32_t rejected = 0;
  /// Calls that the worker was given.
  uint32_t offered = 0;
  uint32_t queued = 0;
  /// Calls that may run at once.
  uint32_t limit = 0;
  /// Time that one call holds a slot.
  absl::Duration mean_time;
};

/// Factor on the share of a worker's capacity that every entry may use for
/// root requests. The share of an entry is a fixed part of the capacity, so a
/// surge is held back at once; the factor corrects for uneven demand, slow
/// workers and repeats.
struct Grant {
  GrantSettings settings;
  double factor = 1.35;
  /// Offered load in the last window, 1 being the worker's limit.
  double load = 0;
  /// Smoothed share of calls that the worker refused.
  double rejected_share = 0;

  struct Sample {
    absl::Time at;
    double arrivals = 0;
  };
  /// Newest last.
  std::deque<Sample> samples;
  /// Arrivals per second over the window of the limit on repeats.
  double usual_rate = 0;
  absl::Time updated = absl::InfinitePast();
};

/// Called regularly.
void UpdateGrant(Grant& grant, const GrantInput& input, absl::Time now);

/// The factor in thousandths.
uint32_t GrantThousandths(const Grant& grant);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_GRANT_H_
