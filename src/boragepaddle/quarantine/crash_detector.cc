#include "boragepaddle/quarantine/crash_detector.h"

#include <utility>

namespace boragepaddle::quarantine {

bool IsCrash(WorkerSign sign) {
  return sign == WorkerSign::kNotAccepting ||
         sign == WorkerSign::kClosesConnections;
}

absl::string_view ToString(WorkerSign sign) {
  switch (sign) {
    case WorkerSign::kOlderConnectionOpen:
      return "older_connection_open";
    case WorkerSign::kServing:
      return "serving";
    case WorkerSign::kUnknown:
      return "unknown";
    case WorkerSign::kNotAccepting:
      return "not_accepting";
    case WorkerSign::kClosesConnections:
      return "closes_connections";
  }
  return "invalid";
}

void OnBrokenCall(CrashDetector& detector,
                  uint64_t fingerprint,
                  absl::Time now) {
  if (detector.is_worker_down) {
    return;
  }
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
  if (detector.is_worker_down || !is_older_connection_open) {
    detector.check_at = absl::InfiniteFuture();
    return CrashCheckStep::kProbe;
  }
  if (now >= detector.broken_at + detector.settings.max_settle_time) {
    return CrashCheckStep::kEnd;
  }
  detector.check_at = now + detector.settings.settle_time;
  return CrashCheckStep::kWait;
}

std::vector<uint64_t> EndCrashCheck(CrashDetector& detector,
                                    WorkerSign sign,
                                    absl::Time now) {
  const bool was_down = detector.is_worker_down;
  detector.is_worker_down = sign == WorkerSign::kClosesConnections ||
                            (was_down && sign == WorkerSign::kUnknown);
  detector.broken_at = absl::InfiniteFuture();
  detector.check_at = detector.is_worker_down
                          ? now + detector.settings.down_probe_interval
                          : absl::InfiniteFuture();
  std::vector<uint64_t> crashed = std::move(detector.broken_calls);
  detector.broken_calls.clear();
  if (was_down || !IsCrash(sign)) {
    crashed.clear();
  }
  return crashed;
}

void OnWorkerAnswered(CrashDetector& detector) {
  if (detector.is_worker_down) {
    detector.is_worker_down = false;
    detector.check_at = absl::InfiniteFuture();
  }
}

}  // namespace boragepaddle::quarantine
