#ifndef BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
#define BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace boragepaddle::quarantine {

struct CrashDetectorSettings {
  /// Time in which most connections to a crashed worker end, and interval at
  /// which the others are checked again.
  absl::Duration settle_time = absl::Milliseconds(50);
  /// Time in which all connections to a crashed worker end.
  absl::Duration max_settle_time = absl::Seconds(1);
  /// Time for which a call that ended without an answer may be the cause of a
  /// crash: the worker may go on with it after its connection is closed.
  absl::Duration suspicion_time = absl::Seconds(3);
  /// Tolerance for the time that a worker states as its start.
  absl::Duration start_tolerance = absl::Milliseconds(500);
  /// Limit on such calls; the oldest are forgotten.
  size_t max_calls = 1024;
  /// Interval at which a worker whose address closes all connections is probed.
  absl::Duration down_probe_interval = absl::Milliseconds(100);
};

/// What a check has shown of the worker.
enum class WorkerSign : uint8_t {
  /// A connection from before the first one that ended is still open.
  kOlderConnectionOpen,
  /// The worker accepts a connection and keeps it open.
  kServing,
  /// The node could not find out.
  kUnknown,
  /// The worker accepts no connection.
  kNotAccepting,
  /// The address accepts connections and closes them at once: something else
  /// still listens there.
  kClosesConnections,
  /// The worker registered a new start.
  kRestarted,
};

/// True if the sign shows that the worker has crashed, given that one of its
/// connections ended after calls without an answer.
bool IsCrash(WorkerSign sign);

/// Name in logs.
absl::string_view ToString(WorkerSign sign);

/// A call that was sent to the worker and ended without an answer: its
/// connection was closed, the answer was invalid, or the call was cancelled.
struct UnansweredCall {
  uint64_t fingerprint = 0;
  absl::Time ended_at;
};

/// Detects crashes of the worker. A check starts when a connection ends after
/// unanswered calls. The worker has crashed if its older connections end too
/// and it serves no new one; otherwise it, or the network, only ended some
/// connections.
struct CrashDetector {
  CrashDetectorSettings settings;
  /// Recent calls, the oldest first.
  std::deque<UnansweredCall> unanswered;
  /// End of the first connection of the check in progress.
  absl::Time connection_ended_at = absl::InfiniteFuture();
  /// Next check; in the infinite future while none is due or one is running.
  absl::Time check_at = absl::InfiniteFuture();
  /// The address closes all connections since a crash, so that calls break
  /// without reaching the worker. Probed until this ends.
  bool is_worker_down = false;
};

/// Next step of a check.
enum class CrashCheckStep : uint8_t {
  /// Nothing to do yet.
  kWait,
  /// Connect to the worker, and end the check with the result.
  kProbe,
  /// End the check with kOlderConnectionOpen.
  kEnd,
};

void OnUnansweredCall(CrashDetector& detector,
                      uint64_t fingerprint,
                      absl::Time now);

/// The worker ended or refused a connection, or broke the protocol on it.
void OnConnectionEnded(CrashDetector& detector, absl::Time now);

/// True if a check is due.
bool IsCrashCheckDue(const CrashDetector& detector, absl::Time now);

/// Advances a check that is due. `is_older_connection_open` tells whether a
/// connection that was opened before `connection_ended_at` is still open.
CrashCheckStep AdvanceCrashCheck(CrashDetector& detector,
                                 bool is_older_connection_open,
                                 absl::Time now);

/// Ends the check. If the sign shows a crash, returns the fingerprints of the
/// calls that may have caused it, each once.
std::vector<uint64_t> EndCrashCheck(CrashDetector& detector,
                                    WorkerSign sign,
                                    absl::Time now);

/// The worker registered a start at the given time. If calls ended without an
/// answer just before, returns their fingerprints: it has crashed, and was back
/// before it was probed.
std::vector<uint64_t> OnWorkerRestarted(CrashDetector& detector,
                                        absl::Time started_at,
                                        absl::Time now);

/// The worker answered a call.
void OnWorkerAnswered(CrashDetector& detector);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_CRASH_DETECTOR_H_
