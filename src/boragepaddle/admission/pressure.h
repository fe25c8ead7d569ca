#ifndef BORAGEPADDLE_ADMISSION_PRESSURE_H_
#define BORAGEPADDLE_ADMISSION_PRESSURE_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace boragepaddle::admission {

/// Control of the share of root requests that entries hold back for a worker.
struct PressureSettings {
  /// Offered load that is aimed at; 1 would keep every slot busy.
  double target = 0.92;
  /// Pace of the control.
  absl::Duration interval = absl::Milliseconds(200);
  /// Arrivals are counted over this time.
  absl::Duration window = absl::Milliseconds(500);
  /// Time between a decision at the entries and its effect on the middle of
  /// the window: the work above this service, and half of the window.
  absl::Duration lag = absl::Milliseconds(450);
  /// Part of the way to the ideal share that one step goes.
  double step = 0.5;
  /// Largest growth of the admitted share in one step.
  double max_growth = 1.4;
  /// Smallest admitted share, so that arrivals keep being measured.
  double min_admitted = 0.03;
};

/// Offered load of one worker and the share of root requests that it can
/// take.
struct Pressure {
  PressureSettings settings;
  /// Share of the root requests that is admitted.
  double admitted = 1;
  /// Offered load in the last window.
  double offered = 0;

  struct Sample {
    absl::Time at;
    double arrivals = 0;
    double admitted = 1;
  };
  /// Newest last; covers the window and the lag.
  std::deque<Sample> samples;
  absl::Time updated = absl::InfinitePast();
};

/// Called regularly. `arrivals` came since the last call; `mean_time` is the
/// time that one holds a slot.
void UpdatePressure(Pressure& pressure,
                    uint32_t arrivals,
                    absl::Duration mean_time,
                    uint32_t limit,
                    absl::Time now);

/// Share to hold back, in thousandths.
uint32_t HeldBack(const Pressure& pressure);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_PRESSURE_H_
