#ifndef BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
#define BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::quarantine {

struct CrashDetectorSettings {
  /// Time in which most connections to a crashed worker end, and interval at
  /// which the others are checked again.
  absl::Duration settle_time = absl::Milliseconds(50);
  /// Time in which all connections to a crashed worker end.
  absl::Duration max_settle_time = absl::Seconds(1);
};

/// Detects crashes of the worker by calls that ended without an answer because
/// their connection was closed. The worker has crashed if its older connections
/// end too and it accepts no new one; otherwise it, or the network, only ended
/// some connections.
struct CrashDetector {
  CrashDetectorSettings settings;
  /// Fingerprints of the calls, and the end of the first of them.
  std::vector<uint64_t> broken_calls;
  absl::Time broken_at = absl::InfiniteFuture();
  /// Next check; in the infinite future while none is due or one is running.
  absl::Time check_at = absl::InfiniteFuture();
};

/// Next step of a check.
enum class CrashCheckStep : uint8_t {
  /// Nothing to do yet.
  kWait,
  /// Connect to the worker, and end the check with the result.
  kProbe,
  /// End the check: the worker has kept older connections.
  kEnd,
};

void OnBrokenCall(CrashDetector& detector,
                  uint64_t fingerprint,
                  absl::Time now);

/// True if a check is due.
bool IsCrashCheckDue(const CrashDetector& detector, absl::Time now);

/// Advances a check that is due. `is_older_connection_open` tells whether a
/// connection that was opened before `broken_at` is still open.
CrashCheckStep AdvanceCrashCheck(CrashDetector& detector,
                                 bool is_older_connection_open,
                                 absl::Time now);

/// Ends the check. Returns the fingerprints of the broken calls if the worker
/// has crashed.
std::vector<uint64_t> EndCrashCheck(CrashDetector& detector, bool has_crashed);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
