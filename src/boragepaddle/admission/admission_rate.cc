#include "boragepaddle/admission/admission_rate.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::admission {

namespace {

constexpr double kThousand = 1000;

/// Weight of one update in the smoothed share of rejected calls.
constexpr double kRejectedWeight = 0.4;

/// Rejected shares below this do not indicate an overloaded worker.
constexpr double kMinRejectedShare = 0.05;

double ArrivalsInWindow(AdmissionRateController& grant, absl::Time now) {
  while (!grant.samples.empty() &&
         now - grant.samples.front().at >= grant.settings.window) {
    grant.samples.pop_front();
  }
  double arrivals = 0;
  for (const AdmissionRateController::Sample& sample : grant.samples) {
    arrivals += sample.arrivals;
  }
  return arrivals;
}

/// Load from new arrivals and from draining the queue.
double SlotLoad(const AdmissionRateController& grant,
                const AdmissionRateInput& input,
                double rate) {
  const double mean = absl::ToDoubleSeconds(input.mean_time);
  const double queue_drain_time =
      absl::ToDoubleSeconds(grant.settings.queue_drain_time);
  return (rate + input.queued / queue_drain_time) * mean / input.limit;
}

/// Load relative to the retry budget: each rejected call is retried once.
double RetryLoad(const AdmissionRateController& grant, double rate) {
  if (grant.rejected_share < kMinRejectedShare) {
    return 0;
  }
  const AdmissionRateSettings& settings = grant.settings;
  const double allowed =
      settings.retry_budget_share * settings.retry_ratio * grant.long_term_rate;
  return settings.target_load * grant.rejected_share * rate /
         std::max(allowed, 1e-3);
}

}  // namespace

void UpdateAdmissionRate(AdmissionRateController& grant,
                         const AdmissionRateInput& input,
                         absl::Time now) {
  const AdmissionRateSettings& settings = grant.settings;
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
  const double memory = absl::FDivDuration(
      step, rate > grant.long_term_rate ? settings.retry_window
                                        : settings.rate_decay_time);
  grant.long_term_rate += (rate - grant.long_term_rate) * memory;
  grant.long_term_rate = std::max(grant.long_term_rate, 1e-3);
  grant.load = std::max(SlotLoad(grant, input, rate), RetryLoad(grant, rate));
  if (grant.load < settings.idle_load) {
    grant.factor += (settings.idle_factor - grant.factor) * 0.2;
    return;
  }
  const double wanted = std::sqrt(settings.target_load / grant.load);
  const double change =
      std::clamp(wanted, settings.max_decrease, settings.max_increase);
  grant.factor = std::clamp(grant.factor * change, settings.min_factor,
                            settings.max_factor);
}

uint32_t AdmissionRatePermille(const AdmissionRateController& grant) {
  return static_cast<uint32_t>(std::lround(grant.factor * kThousand));
}

}  // namespace boragepaddle::admission
