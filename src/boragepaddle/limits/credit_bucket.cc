#include "boragepaddle/limits/credit_bucket.h"

#include <algorithm>

namespace boragepaddle::limits {

namespace {

/// Sums of small fractions may miss a whole token by a rounding error.
constexpr double kRounding = 1e-6;

}  // namespace

CreditLimits Scaled(const CreditLimits& limits, double factor) {
  return {limits.rate_per_s * factor, limits.burst * factor};
}

CreditBucket MakeCreditBucket(absl::Time now) {
  return {0, now};
}

// A bucket that holds less than one token would never grant anything.
double CapacityOf(const CreditLimits& limits) {
  return std::max(limits.burst, 1.0);
}

void Refill(CreditBucket& bucket,
            double rate_per_s,
            double capacity,
            absl::Time now) {
  if (now > bucket.filled_at) {
    bucket.tokens += rate_per_s * absl::ToDoubleSeconds(now - bucket.filled_at);
    bucket.filled_at = now;
  }
  bucket.tokens = std::min(bucket.tokens, std::max(capacity, 0.0));
}

uint32_t TakeUpTo(CreditBucket& bucket, uint32_t wanted) {
  const double whole =
      std::min(bucket.tokens + kRounding, static_cast<double>(wanted));
  const auto taken = static_cast<uint32_t>(std::max(whole, 0.0));
  bucket.tokens = std::max(bucket.tokens - taken, 0.0);
  return taken;
}

absl::Duration TimeUntilToken(const CreditBucket& bucket, double rate_per_s) {
  if (bucket.tokens + kRounding >= 1) {
    return absl::ZeroDuration();
  }
  return rate_per_s > 0 ? absl::Seconds((1 - bucket.tokens) / rate_per_s)
                        : absl::InfiniteDuration();
}

}  // namespace boragepaddle::limits
