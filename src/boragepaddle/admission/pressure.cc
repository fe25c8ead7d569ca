#include "boragepaddle/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::admission {

namespace {

constexpr double kThousand = 1000;

double ArrivalsInWindow(const Pressure& pressure, absl::Time now) {
  double arrivals = 0;
  for (const Pressure::Sample& sample : pressure.samples) {
    if (now - sample.at < pressure.settings.window) {
      arrivals += sample.arrivals;
    }
  }
  return arrivals;
}

/// Admitted share when the arrivals of the window were let in.
double AdmittedThen(const Pressure& pressure, absl::Time now) {
  double admitted = 1;
  for (const Pressure::Sample& sample : pressure.samples) {
    if (now - sample.at < pressure.settings.lag) {
      break;
    }
    admitted = sample.admitted;
  }
  return admitted;
}

void DropOldSamples(Pressure& pressure, absl::Time now) {
  const absl::Duration keep =
      pressure.settings.window + 2 * pressure.settings.lag;
  while (!pressure.samples.empty() &&
         now - pressure.samples.front().at > keep) {
    pressure.samples.pop_front();
  }
}

}  // namespace

void UpdatePressure(Pressure& pressure,
                    uint32_t arrivals,
                    absl::Duration mean_time,
                    uint32_t limit,
                    absl::Time now) {
  const PressureSettings& settings = pressure.settings;
  pressure.samples.push_back(
      {now, static_cast<double>(arrivals), pressure.admitted});
  DropOldSamples(pressure, now);
  if (now - pressure.updated < settings.interval || limit == 0) {
    return;
  }
  pressure.updated = now;
  const double busy =
      ArrivalsInWindow(pressure, now) * absl::ToDoubleSeconds(mean_time);
  pressure.offered = busy / (limit * absl::ToDoubleSeconds(settings.window));
  // The load answers to the share that was admitted a while ago, so that share
  // is corrected; correcting the present one would count the error twice.
  const double growth = std::min(
      settings.max_growth, settings.target / std::max(pressure.offered, 1e-6));
  const double ideal = std::min(1.0, AdmittedThen(pressure, now) * growth);
  const double next =
      pressure.admitted + (ideal - pressure.admitted) * settings.step;
  pressure.admitted = std::clamp(next, settings.min_admitted, 1.0);
  if (pressure.admitted > 0.99 && pressure.offered < settings.target) {
    pressure.admitted = 1;
  }
}

uint32_t HeldBack(const Pressure& pressure) {
  return static_cast<uint32_t>(
      std::lround((1 - pressure.admitted) * kThousand));
}

}  // namespace boragepaddle::admission
