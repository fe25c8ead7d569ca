#ifndef BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_
#define BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::event {

/// Times of a connection on which answers are awaited.
struct LivenessSettings {
  /// Silence after which the peer is asked for a sign of life.
  absl::Duration heartbeat_after = absl::Milliseconds(200);
  /// Silence after which the peer is taken for frozen or cut off; its answer
  /// to the heartbeat needs far less.
  absl::Duration suspect_after = absl::Milliseconds(500);
  /// Silence after which the connection is given up: long enough for a node
  /// with little processor time.
  absl::Duration dead_after = absl::Milliseconds(2200);
  /// A gap between checks that is taken for a pause of this process, whose
  /// silence says nothing about the peer.
  absl::Duration pause_gap = absl::Milliseconds(300);
};

/// What to do after a check.
enum class LivenessAction : uint8_t {
  kNone,
  kSendHeartbeat,
  /// Reported once for each silence.
  kSuspect,
  kDead,
};

/// How long one peer has been silent.
struct LivenessMonitor {
  LivenessSettings settings;
  absl::Time last_received;
  absl::Time last_heartbeat;
  absl::Time last_check;
  bool suspected = false;
};

LivenessMonitor MakeLivenessMonitor(const LivenessSettings& settings,
                                    absl::Time now);

/// Bytes came from the peer.
void OnBytesReceived(LivenessMonitor& monitor, absl::Time now);

/// Called regularly; `waiting` while an answer is awaited. After
/// kSendHeartbeat the caller sends one.
LivenessAction CheckLiveness(LivenessMonitor& monitor,
                             bool waiting,
                             absl::Time now);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_LIVENESS_MONITOR_H_
