#ifndef BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
#define BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::quarantine {

struct CrashDetectorSettings {
  /// Time in which all connections to a crashed worker end.
  absl::Duration settle_time = absl::Milliseconds(50);
};

/// Calls that ended without an answer because the worker closed their
/// connection. If no older connection is open after the settle time, the worker
/// has crashed; otherwise it, or the network, only ended some connections.
struct CrashDetector {
  CrashDetectorSettings settings;
  /// Fingerprints of the calls, and the end of the first of them.
  std::vector<uint64_t> broken_calls;
  absl::Time broken_at = absl::InfiniteFuture();
};

void OnBrokenCall(CrashDetector& detector,
                  uint64_t fingerprint,
                  absl::Time now);

/// True if the settle time of the broken calls is over.
bool IsCrashCheckDue(const CrashDetector& detector, absl::Time now);

/// Ends the check. Returns the fingerprints of the broken calls if the worker
/// has crashed. `is_older_connection_open` tells whether a connection that was
/// opened before `broken_at` is still open.
std::vector<uint64_t> EndCrashCheck(CrashDetector& detector,
                                    bool is_older_connection_open);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
