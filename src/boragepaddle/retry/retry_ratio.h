#ifndef BORAGEPADDLE_RETRY_RETRY_RATIO_H_
#define BORAGEPADDLE_RETRY_RETRY_RATIO_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::retry {

/// First attempts and retries of one service over the last 10 s, in buckets
/// of 1 s.
struct RetryRatio {
  static constexpr size_t kBuckets = 10;

  struct Bucket {
    /// Unix time in seconds that the bucket counts.
    int64_t second = -1;
    uint64_t first_attempts = 0;
    uint64_t retries = 0;
  };

  std::array<Bucket, kBuckets> buckets;
};

/// Records the first attempt of a call.
void AddFirstAttempt(RetryRatio& ratio, absl::Time now);

/// Records a retry and returns true if the retries of the window stay within
/// the percentage of first attempts or within 3, whichever is more.
bool TakeRetry(RetryRatio& ratio, uint32_t percent, absl::Time now);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_RETRY_RATIO_H_
