#include "boragepaddle/admission/grant.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::admission {

namespace {

constexpr double kThousand = 1000;

/// Weight of one update in the share of refused calls.
constexpr double kRejectedWeight = 0.4;

/// A few refusals are no sign of a worker that sheds.
constexpr double kRejectedNoise = 0.05;

double ArrivalsInWindow(Grant& grant, absl::Time now) {
  while (!grant.samples.empty() &&
         now - grant.samples.front().at >= grant.settings.window) {
    grant.samples.pop_front();
  }
  double arrivals = 0;
  for (const Grant::Sample& sample : grant.samples) {
    arrivals += sample.arrivals;
  }
  return arrivals;
}

/// Load from arrivals and from the queue that is to be worked off.
double SlotLoad(const Grant& grant, const GrantInput& input, double rate) {
  const double mean = absl::ToDoubleSeconds(input.mean_time);
  const double drain = absl::ToDoubleSeconds(grant.settings.drain);
  return (rate + input.queued / drain) * mean / input.limit;
}

/// Load on the limit on repeats: each refused call is sent once more.
double RepeatLoad(const Grant& grant, double rate) {
  if (grant.rejected_share < kRejectedNoise) {
    return 0;
  }
  const GrantSettings& settings = grant.settings;
  const double allowed =
      settings.repeat_part * settings.repeat_ratio * grant.usual_rate;
  return settings.target * grant.rejected_share * rate /
         std::max(allowed, 1e-3);
}

}  // namespace

void UpdateGrant(Grant& grant, const GrantInput& input, absl::Time now) {
  const GrantSettings& settings = grant.settings;
  grant.samples.push_back({now, static_cast<double>(input.arrivals)});
  if (input.offered > 0) {
    const double share = static_cast<double>(input.rejected) / input.offered;
    const double weight =
        std::min(1.0, kRejectedWeight * input.offered / (input.limit + 1.0));
    grant.rejected_share += (share - grant.rejected_share) * weight;
  }
  if (now - grant.updated < settings.interval || input.limit == 0) {
    return;
  }
  const absl::Duration step = std::min(now - grant.updated, settings.window);
  grant.updated = now;
  const double rate =
      ArrivalsInWindow(grant, now) / absl::ToDoubleSeconds(settings.window);
  const double memory = absl::FDivDuration(step, rate > grant.usual_rate
                                                     ? settings.repeat_window
                                                     : settings.repeat_memory);
  grant.usual_rate += (rate - grant.usual_rate) * memory;
  grant.usual_rate = std::max(grant.usual_rate, 1e-3);
  grant.load = std::max(SlotLoad(grant, input, rate), RepeatLoad(grant, rate));
  if (grant.load < settings.idle) {
    grant.factor += (settings.rest - grant.factor) * 0.2;
    return;
  }
  const double wanted = std::sqrt(settings.target / grant.load);
  const double change =
      std::clamp(wanted, settings.max_cut, settings.max_growth);
  grant.factor =
      std::clamp(grant.factor * change, settings.min_grant, settings.max_grant);
}

uint32_t GrantThousandths(const Grant& grant) {
  return static_cast<uint32_t>(std::lround(grant.factor * kThousand));
}

}  // namespace boragepaddle::admission
