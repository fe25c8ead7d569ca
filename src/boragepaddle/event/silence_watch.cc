#include "boragepaddle/event/silence_watch.h"

#include <algorithm>

namespace boragepaddle::event {

SilenceWatch MakeSilenceWatch(const SilenceSettings& settings, absl::Time now) {
  return {settings, now, now, now, false};
}

void OnHeard(SilenceWatch& watch, absl::Time now) {
  watch.last_heard = now;
  watch.suspected = false;
}

SilenceSign CheckSilence(SilenceWatch& watch, bool waiting, absl::Time now) {
  const SilenceSettings& settings = watch.settings;
  const bool was_paused = now - watch.last_check > settings.pause_gap;
  watch.last_check = now;
  if (was_paused) {
    OnHeard(watch, now);
  }
  if (!waiting) {
    // The first call after a rest starts with a heartbeat.
    watch.last_heard =
        std::max(watch.last_heard, now - settings.heartbeat_after);
    watch.suspected = false;
    return SilenceSign::kNothing;
  }
  const absl::Duration silence = now - watch.last_heard;
  if (silence > settings.dead_after) {
    return SilenceSign::kDead;
  }
  if (silence > settings.suspect_after && !watch.suspected) {
    watch.suspected = true;
    return SilenceSign::kSuspect;
  }
  if (silence > settings.heartbeat_after &&
      now - watch.last_heartbeat > settings.heartbeat_after) {
    watch.last_heartbeat = now;
    return SilenceSign::kSendHeartbeat;
  }
  return SilenceSign::kNothing;
}

}  // namespace boragepaddle::event
