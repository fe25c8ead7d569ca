#ifndef BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_
#define BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_

#include <cstdint>
#include <deque>
#include <limits>

#include "absl/time/time.h"

namespace boragepaddle::admission {

/// Settings of the admission rate controller of one worker.
struct AdmissionRateSettings {
  /// Target offered load; 1 keeps every slot busy.
  double target_load = 0.92;
  /// Below this load root requests are not limited, and the factor returns to
  /// idle_factor.
  double idle_load = 0.6;
  double idle_factor = 1.35;
  double min_factor = 0.05;
  double max_factor = 2.0;
  /// Control interval.
  absl::Duration interval = absl::Milliseconds(200);
  /// Window over which the arrival rate is measured.
  absl::Duration window = absl::Milliseconds(400);
  /// The queue counts as extra load that is to be processed within this time.
  absl::Duration queue_drain_time = absl::Milliseconds(300);
  /// Bounds on the relative change per step.
  double max_decrease = 0.75;
  double max_increase = 1.1;
  /// Share of the retry budget that refusals by the worker may use.
  double retry_budget_share = 0.85;
  double retry_ratio = 0.2;
  /// Averaging time for requests that the retry budget refers to while the rate
  /// rises. The budget covers two such windows, so the average falls more
  /// slowly, over rate_decay_time.
  absl::Duration retry_window = absl::Seconds(10);
  absl::Duration rate_decay_time = absl::Seconds(30);
};

/// Measurements at a worker since the last update.
struct AdmissionRateInput {
  /// Calls that requested a slot for the first time.
  uint32_t arrivals = 0;
  /// Calls that the worker rejected.
  uint32_t rejected = 0;
  /// Calls that were sent to the worker.
  uint32_t offered = 0;
  uint32_t queued = 0;
  /// Concurrency limit.
  uint32_t limit = 0;
  /// Mean time for which a call holds a slot.
  absl::Duration mean_time;
  /// Calls per second that the worker accepts.
  double max_rate = std::numeric_limits<double>::infinity();
};

/// Controls the factor on the share of a worker's capacity that each entry node
/// may use for root requests. The share itself is a fixed part of the capacity,
/// so a surge is limited at once; the factor corrects for uneven demand, slow
/// workers and retries.
struct AdmissionRateController {
  AdmissionRateSettings settings;
  double factor = 1.35;
  /// Offered load in the last window; 1 is the worker's concurrency or rate
  /// limit.
  double load = 0;
  /// Smoothed share of calls that the worker rejected.
  double rejected_share = 0;

  struct Sample {
    absl::Time at;
    double arrivals = 0;
  };
  /// Ordered by time, newest last.
  std::deque<Sample> samples;
  /// Smoothed arrivals per second, on the time scale of the retry budget.
  double long_term_rate = 0;
  absl::Time updated = absl::InfinitePast();
};

/// Adds the measurements; adjusts the factor once per interval.
void UpdateAdmissionRate(AdmissionRateController& controller,
                         const AdmissionRateInput& input,
                         absl::Time now);

/// The factor in thousandths, as sent to the entry nodes.
uint32_t AdmissionRatePermille(const AdmissionRateController& controller);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_ADMISSION_RATE_H_
