#include "boragepaddle/quarantine/crash_detector.h"

#include <utility>

namespace boragepaddle::quarantine {

void OnBrokenCall(CrashDetector& detector,
                  uint64_t fingerprint,
                  absl::Time now) {
  if (detector.broken_calls.empty()) {
    detector.broken_at = now;
    detector.check_at = now + detector.settings.settle_time;
  }
  detector.broken_calls.push_back(fingerprint);
}

bool IsCrashCheckDue(const CrashDetector& detector, absl::Time now) {
  return now >= detector.check_at;
}

CrashCheckStep AdvanceCrashCheck(CrashDetector& detector,
                                 bool is_older_connection_open,
                                 absl::Time now) {
  if (!IsCrashCheckDue(detector, now)) {
    return CrashCheckStep::kWait;
  }
  if (!is_older_connection_open) {
    detector.check_at = absl::InfiniteFuture();
    return CrashCheckStep::kProbe;
  }
  if (now >= detector.broken_at + detector.settings.max_settle_time) {
    return CrashCheckStep::kEnd;
  }
  detector.check_at = now + detector.settings.settle_time;
  return CrashCheckStep::kWait;
}

std::vector<uint64_t> EndCrashCheck(CrashDetector& detector, bool has_crashed) {
  detector.broken_at = absl::InfiniteFuture();
  detector.check_at = absl::InfiniteFuture();
  std::vector<uint64_t> crashed = std::move(detector.broken_calls);
  detector.broken_calls.clear();
  if (!has_crashed) {
    crashed.clear();
  }
  return crashed;
}

}  // namespace boragepaddle::quarantine
