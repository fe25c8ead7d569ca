#include "boragepaddle/quarantine/crash_detector.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::quarantine {

void OnBrokenCall(CrashDetector& detector,
                  uint64_t fingerprint,
                  absl::Time now) {
  detector.broken_at = std::min(detector.broken_at, now);
  detector.broken_calls.push_back(fingerprint);
}

bool IsCrashCheckDue(const CrashDetector& detector, absl::Time now) {
  return now >= detector.broken_at + detector.settings.settle_time;
}

std::vector<uint64_t> EndCrashCheck(CrashDetector& detector,
                                    bool is_older_connection_open) {
  detector.broken_at = absl::InfiniteFuture();
  std::vector<uint64_t> crashed = std::move(detector.broken_calls);
  detector.broken_calls.clear();
  if (is_older_connection_open) {
    crashed.clear();
  }
  return crashed;
}

}  // namespace boragepaddle::quarantine
