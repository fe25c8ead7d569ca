#include "boragepaddle/retry/retry_ratio.h"

#include <algorithm>

namespace boragepaddle::retry {

namespace {

// Minimum, so that a service with few calls can retry at all.
constexpr uint64_t kMinRetries = 3;
constexpr uint64_t kPercent = 100;

int64_t SecondOf(absl::Time now) {
  return absl::ToUnixSeconds(now);
}

RetryRatio::Bucket& BucketOf(RetryRatio& ratio, absl::Time now) {
  const int64_t second = SecondOf(now);
  auto& bucket =
      ratio.buckets[static_cast<uint64_t>(second) % RetryRatio::kBuckets];
  if (bucket.second != second) {
    bucket = RetryRatio::Bucket();
    bucket.second = second;
  }
  return bucket;
}

}  // namespace

void AddFirstAttempt(RetryRatio& ratio, absl::Time now) {
  ++BucketOf(ratio, now).first_attempts;
}

bool TakeRetry(RetryRatio& ratio, uint32_t percent, absl::Time now) {
  const int64_t oldest =
      SecondOf(now) - static_cast<int64_t>(RetryRatio::kBuckets) + 1;
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  for (const RetryRatio::Bucket& bucket : ratio.buckets) {
    if (bucket.second >= oldest) {
      first_attempts += bucket.first_attempts;
      retries += bucket.retries;
    }
  }
  const uint64_t allowed =
      std::max(kMinRetries, first_attempts * percent / kPercent);
  if (retries >= allowed) {
    return false;
  }
  ++BucketOf(ratio, now).retries;
  return true;
}

}  // namespace boragepaddle::retry
