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

double ArrivalsInWindow(AdmissionRateController& controller, absl::Time now) {
  while (!controller.samples.empty() &&
         now - controller.samples.front().at >= controller.settings.window) {
    controller.samples.pop_front();
  }
  double arrivals = 0;
  for (const AdmissionRateController::Sample& sample : controller.samples) {
    arrivals += sample.arrivals;
  }
  return arrivals;
}

/// Load from new arrivals and from draining the queue, relative to the slots or
/// to the rate limit of the worker.
double SlotLoad(const AdmissionRateController& controller,
                const AdmissionRateInput& input,
                double rate) {
  const double mean = absl::ToDoubleSeconds(input.mean_time);
  const double queue_drain_time =
      absl::ToDoubleSeconds(controller.settings.queue_drain_time);
  const double total_rate = rate + input.queued / queue_drain_time;
  return std::max(total_rate * mean / input.limit, total_rate / input.max_rate);
}

/// Load relative to the retry budget: each rejected call is retried once.
double RetryLoad(const AdmissionRateController& controller, double rate) {
  if (controller.rejected_share < kMinRejectedShare) {
    return 0;
  }
  const AdmissionRateSettings& settings = controller.settings;
  const double allowed = settings.retry_budget_share * settings.retry_ratio *
                         controller.long_term_rate;
  return settings.target_load * controller.rejected_share * rate /
         std::max(allowed, 1e-3);
}

}  // namespace

void UpdateAdmissionRate(AdmissionRateController& controller,
                         const AdmissionRateInput& input,
                         absl::Time now) {
  const AdmissionRateSettings& settings = controller.settings;
  controller.samples.push_back({now, static_cast<double>(input.arrivals)});
  if (input.offered > 0) {
    const double share = static_cast<double>(input.rejected) / input.offered;
    const double weight =
        std::min(1.0, kRejectedWeight * input.offered / (input.limit + 1.0));
    controller.rejected_share += (share - controller.rejected_share) * weight;
  }
  if (now - controller.updated < settings.interval || input.limit == 0) {
    return;
  }
  const absl::Duration step =
      std::min(now - controller.updated, settings.window);
  controller.updated = now;
  const double rate = ArrivalsInWindow(controller, now) /
                      absl::ToDoubleSeconds(settings.window);
  const double memory = absl::FDivDuration(
      step, rate > controller.long_term_rate ? settings.retry_window
                                             : settings.rate_decay_time);
  controller.long_term_rate += (rate - controller.long_term_rate) * memory;
  controller.long_term_rate = std::max(controller.long_term_rate, 1e-3);
  controller.load =
      std::max(SlotLoad(controller, input, rate), RetryLoad(controller, rate));
  if (controller.load < settings.idle_load) {
    controller.factor += (settings.idle_factor - controller.factor) * 0.2;
    return;
  }
  const double wanted = std::sqrt(settings.target_load / controller.load);
  const double change =
      std::clamp(wanted, settings.max_decrease, settings.max_increase);
  controller.factor = std::clamp(controller.factor * change,
                                 settings.min_factor, settings.max_factor);
}

uint32_t AdmissionRatePermille(const AdmissionRateController& controller) {
  return static_cast<uint32_t>(std::lround(controller.factor * kThousand));
}

}  // namespace boragepaddle::admission
