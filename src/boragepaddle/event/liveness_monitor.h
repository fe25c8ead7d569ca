#ifndef BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_
#define BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::event {

/// Timeouts for a connection on which answers are awaited.
struct LivenessSettings {
  /// Time without received data after which a heartbeat is sent.
  absl::Duration heartbeat_after = absl::Milliseconds(200);
  /// Time without received data after which the peer is assumed to be frozen
  /// or partitioned. A healthy peer answers a heartbeat much sooner.
  absl::Duration suspect_after = absl::Milliseconds(500);
  /// Time without received data after which the connection is closed. Long
  /// enough that a node that gets little CPU time is not cut off.
  absl::Duration dead_after = absl::Milliseconds(2200);
  /// Longer gaps between checks mean that this process itself was paused; time
  /// without received data then says nothing about the peer.
  absl::Duration pause_gap = absl::Milliseconds(300);
};

/// What the caller has to do after a check.
enum class LivenessAction : uint8_t {
  kNone,
  kSendHeartbeat,
  /// Reported once until data is received again.
  kSuspect,
  kDead,
};

/// Tracks how long nothing has been received from one peer.
struct LivenessMonitor {
  LivenessSettings settings;
  absl::Time last_received;
  absl::Time last_heartbeat;
  absl::Time last_check;
  bool suspected = false;
};

LivenessMonitor MakeLivenessMonitor(const LivenessSettings& settings,
                                    absl::Time now);

/// Records that data was received from the peer.
void OnBytesReceived(LivenessMonitor& monitor, absl::Time now);

/// Checks the timeouts; call it periodically. `waiting` is true while an answer
/// is awaited: without one, the peer may be idle and no timeout applies.
LivenessAction CheckLiveness(LivenessMonitor& monitor,
                             bool waiting,
                             absl::Time now);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_
