#include "boragepaddle/event/liveness_monitor.h"

#include <algorithm>

namespace boragepaddle::event {

LivenessMonitor MakeLivenessMonitor(const LivenessSettings& settings,
                                    absl::Time now) {
  return {settings, now, now, now, false};
}

void OnBytesReceived(LivenessMonitor& monitor, absl::Time now) {
  monitor.last_received = now;
  monitor.suspected = false;
}

LivenessAction CheckLiveness(LivenessMonitor& monitor,
                             bool waiting,
                             absl::Time now) {
  const LivenessSettings& settings = monitor.settings;
  const bool was_paused = now - monitor.last_check > settings.pause_gap;
  monitor.last_check = now;
  if (was_paused) {
    OnBytesReceived(monitor, now);
  }
  if (!waiting) {
    // The first call after a rest starts with a heartbeat.
    monitor.last_received =
        std::max(monitor.last_received, now - settings.heartbeat_after);
    monitor.suspected = false;
    return LivenessAction::kNone;
  }
  const absl::Duration silence = now - monitor.last_received;
  if (silence > settings.dead_after) {
    return LivenessAction::kDead;
  }
  if (silence > settings.suspect_after && !monitor.suspected) {
    monitor.suspected = true;
    return LivenessAction::kSuspect;
  }
  if (silence > settings.heartbeat_after &&
      now - monitor.last_heartbeat > settings.heartbeat_after) {
    monitor.last_heartbeat = now;
    return LivenessAction::kSendHeartbeat;
  }
  return LivenessAction::kNone;
}

}  // namespace boragepaddle::event
