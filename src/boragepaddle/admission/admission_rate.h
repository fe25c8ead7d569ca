#ifndef BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_
#define BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace boragepaddle::admission {

/// Control of the grant of one worker.
struct AdmissionRateSettings {
  /// Offered load that is aimed at; 1 would keep every slot busy.
  double target_load = 0.92;
  /// Below this load nobody is held back, and the grant returns to its
  /// idle_factor.
  double idle_load = 0.6;
  double idle_factor = 1.35;
  double min_factor = 0.05;
  double max_factor = 2.0;
  /// Pace of the control.
  absl::Duration interval = absl::Milliseconds(200);
  /// Arrivals are counted over this time.
  absl::Duration window = absl::Milliseconds(400);
  /// A queue counts as load that is to be worked off in this time.
  absl::Duration queue_drain_time = absl::Milliseconds(300);
  /// Largest steps down and up.
  double max_decrease = 0.75;
  double max_increase = 1.1;
  /// Part of the limit on repeats that refusals by the worker may use up.
  double retry_budget_share = 0.85;
  double retry_ratio = 0.2;
  /// Requests that the limit on repeats refers to are counted over this time;
  /// the limit looks back over two such windows, so a fall shows later.
  absl::Duration retry_window = absl::Seconds(10);
  absl::Duration rate_decay_time = absl::Seconds(30);
};

/// What happened at a worker since the last update.
struct AdmissionRateInput {
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
struct AdmissionRateController {
  AdmissionRateSettings settings;
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
  double long_term_rate = 0;
  absl::Time updated = absl::InfinitePast();
};

/// Called regularly.
void UpdateAdmissionRate(AdmissionRateController& grant,
                         const AdmissionRateInput& input,
                         absl::Time now);

/// The factor in thousandths.
uint32_t AdmissionRatePermille(const AdmissionRateController& grant);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_
