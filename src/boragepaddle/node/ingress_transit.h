#ifndef BORAGEPADDLE_NODE_INGRESS_TRANSIT_H_
#define BORAGEPADDLE_NODE_INGRESS_TRANSIT_H_

#include <cstdint>

#include "absl/time/time.h"

namespace boragepaddle::node {

/// Estimates the clock offset between sender and receiver of one connection as
/// the smallest difference seen.
struct TransitClock {
  absl::Time opened;
  absl::Duration current = absl::InfiniteDuration();
  absl::Duration previous = absl::InfiniteDuration();
  absl::Time period_start = absl::InfinitePast();
};

/// Time in transit of a frame beyond the usual. A frame without a send time (0)
/// counts as just sent. `record` is false for frames whose delay is known to be
/// unusual.
absl::Duration TimeInTransit(TransitClock& clock,
                             int64_t sent_at_us,
                             bool record,
                             absl::Time now);

/// Detects that this process was paused, by a gap between its own events.
struct PauseDetector {
  absl::Duration gap = absl::Milliseconds(500);
  /// Frames read within this time after a pause may be old ones from the socket
  /// buffers.
  absl::Duration guard = absl::Milliseconds(200);
  absl::Time last_event = absl::InfinitePast();
  absl::Time last_pause_end = absl::InfinitePast();
};

/// Records an event of the node.
void RecordEvent(PauseDetector& detector, absl::Time now);

/// True within the guard time after a pause.
bool IsAfterPause(const PauseDetector& detector, absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_TRANSIT_H_
