#include "boragepaddle/quarantine/crash_detector.h"

#include <algorithm>

namespace boragepaddle::quarantine {

namespace {

/// Keeps the calls that were recent when the check in progress began.
void ForgetOldCalls(CrashDetector& detector, absl::Time now) {
  const absl::Time oldest = std::min(now, detector.connection_ended_at) -
                            detector.settings.suspicion_time;
  while (!detector.unanswered.empty() &&
         detector.unanswered.front().ended_at < oldest) {
    detector.unanswered.pop_front();
  }
}

/// Removes the calls that ended before the time, and returns their
/// fingerprints, each once.
std::vector<uint64_t> TakeSuspects(CrashDetector& detector,
                                   absl::Time ended_before) {
  std::vector<uint64_t> suspects;
  while (!detector.unanswered.empty() &&
         detector.unanswered.front().ended_at < ended_before) {
    suspects.push_back(detector.unanswered.front().fingerprint);
    detector.unanswered.pop_front();
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

}  // namespace

bool IsCrash(WorkerSign sign) {
  return sign == WorkerSign::kNotAccepting ||
         sign == WorkerSign::kClosesConnections ||
         sign == WorkerSign::kRestarted;
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
    case WorkerSign::kRestarted:
      return "restarted";
  }
  return "invalid";
}

void OnUnansweredCall(CrashDetector& detector,
                      uint64_t fingerprint,
                      absl::Time now) {
  if (detector.is_worker_down) {
    return;
  }
  ForgetOldCalls(detector, now);
  if (detector.unanswered.size() >= detector.settings.max_calls) {
    detector.unanswered.pop_front();
  }
  detector.unanswered.push_back({fingerprint, now});
}

void OnConnectionEnded(CrashDetector& detector, absl::Time now) {
  const bool is_checking =
      detector.connection_ended_at != absl::InfiniteFuture();
  ForgetOldCalls(detector, now);
  if (detector.is_worker_down || is_checking || detector.unanswered.empty()) {
    return;
  }
  detector.connection_ended_at = now;
  detector.check_at = now + detector.settings.settle_time;
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
  if (now >= detector.connection_ended_at + detector.settings.max_settle_time) {
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
  detector.connection_ended_at = absl::InfiniteFuture();
  detector.check_at = detector.is_worker_down
                          ? now + detector.settings.down_probe_interval
                          : absl::InfiniteFuture();
  if (was_down || !IsCrash(sign)) {
    return {};
  }
  return TakeSuspects(detector, /*ended_before=*/absl::InfiniteFuture());
}

std::vector<uint64_t> OnWorkerRestarted(CrashDetector& detector,
                                        absl::Time started_at,
                                        absl::Time now) {
  ForgetOldCalls(detector, now);
  return TakeSuspects(detector, started_at + detector.settings.start_tolerance);
}

void OnWorkerAnswered(CrashDetector& detector) {
  if (detector.is_worker_down) {
    detector.is_worker_down = false;
    detector.check_at = absl::InfiniteFuture();
  }
}

}  // namespace boragepaddle::quarantine
