#include "boragepaddle/node/ingress_transit.h"

#include <algorithm>

namespace boragepaddle::node {

namespace {

// VM clocks drift by up to 50 us per second, so a difference measured in the
// last two minutes is off by at most 6 ms.
constexpr absl::Duration kPeriod = absl::Minutes(1);

}  // namespace

absl::Duration TimeInTransit(TransitClock& clock,
                             int64_t sent_at_us,
                             bool record,
                             absl::Time now) {
  if (sent_at_us == 0) {
    return absl::ZeroDuration();
  }
  const absl::Duration difference = now - absl::FromUnixMicros(sent_at_us);
  if (record) {
    if (now >= clock.period_start + kPeriod) {
      clock.previous = clock.current;
      clock.current = absl::InfiniteDuration();
      clock.period_start = now;
    }
    clock.current = std::min(clock.current, difference);
  }
  const absl::Duration usual = std::min(clock.current, clock.previous);
  return std::max(absl::ZeroDuration(), difference - usual);
}

void RecordEvent(PauseDetector& detector, absl::Time now) {
  if (now - detector.last_event > detector.gap &&
      detector.last_event != absl::InfinitePast()) {
    detector.last_pause_end = now;
  }
  detector.last_event = std::max(detector.last_event, now);
}

bool IsAfterPause(const PauseDetector& detector, absl::Time now) {
  return now < detector.last_pause_end + detector.guard;
}

}  // namespace boragepaddle::node
