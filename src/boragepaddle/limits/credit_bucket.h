#ifndef BORAGEPADDLE_LIMITS_CREDIT_BUCKET_H_
#define BORAGEPADDLE_LIMITS_CREDIT_BUCKET_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::limits {

/// Rate limit of a client account.
struct CreditLimits {
  /// Requests per second over all nodes.
  double rate_per_s = 0;
  /// Requests beyond the rate that may follow a pause.
  double burst = 0;
};

/// Returns the limits scaled by a factor.
CreditLimits Scaled(const CreditLimits& limits, double factor);

/// Token bucket; one token is the credit for one request.
struct CreditBucket {
  double tokens = 0;
  absl::Time filled_at = absl::InfinitePast();
};

/// Returns an empty bucket that fills from now on.
CreditBucket MakeCreditBucket(absl::Time now);

/// Most tokens that a bucket with these limits holds.
double CapacityOf(const CreditLimits& limits);

/// Adds the tokens of the time since the last call, up to the capacity; tokens
/// beyond it are dropped, as after a limit was lowered.
void Refill(CreditBucket& bucket,
            double rate_per_s,
            double capacity,
            absl::Time now);

/// Takes up to `wanted` whole tokens and returns their number.
uint32_t TakeUpTo(CreditBucket& bucket, uint32_t wanted);

/// Time until the bucket holds a whole token; infinite with a rate of 0.
absl::Duration TimeUntilToken(const CreditBucket& bucket, double rate_per_s);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_BUCKET_H_
