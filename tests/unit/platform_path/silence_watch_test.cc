#include "boragepaddle/event/liveness_monitor.h"

#include <doctest/doctest.h>

namespace boragepaddle::event {
namespace {

absl::Time At(int ms) {
  return absl::UnixEpoch() + absl::Seconds(100) + absl::Milliseconds(ms);
}

/// Checks every 100 ms up to and including `until`; the last sign that was not
/// kNothing.
LivenessAction Run(LivenessMonitor& watch, bool waiting, int from, int until) {
  LivenessAction last = LivenessAction::kNone;
  for (int ms = from; ms <= until; ms += 100) {
    const LivenessAction sign = CheckLiveness(watch, waiting, At(ms));
    last = sign == LivenessAction::kNone ? last : sign;
  }
  return last;
}

// Guards against calls that wait for a frozen or unreachable node until their
// time is over, though another worker could run them.
TEST_CASE("silence: a peer that does not answer a heartbeat is suspected") {
  LivenessMonitor watch = MakeLivenessMonitor(LivenessSettings(), At(0));
  CHECK(Run(watch, true, 100, 200) == LivenessAction::kNone);
  CHECK(Run(watch, true, 300, 300) == LivenessAction::kSendHeartbeat);
  CHECK(Run(watch, true, 400, 600) == LivenessAction::kSuspect);
  CHECK(Run(watch, true, 700, 2200) == LivenessAction::kSendHeartbeat);
  CHECK(Run(watch, true, 2300, 2300) == LivenessAction::kDead);
}

TEST_CASE("silence: any bytes of the peer end the suspicion") {
  LivenessMonitor watch = MakeLivenessMonitor(LivenessSettings(), At(0));
  Run(watch, true, 100, 600);
  CHECK(watch.suspected);
  OnBytesReceived(watch, At(650));
  CHECK_FALSE(watch.suspected);
  CHECK(Run(watch, true, 700, 1100) == LivenessAction::kSendHeartbeat);
  CHECK(Run(watch, true, 1200, 1200) == LivenessAction::kSuspect);
}

// Guards against a node that suspects all others after it stood still itself.
TEST_CASE("silence: a pause of this process says nothing about the peer") {
  LivenessMonitor watch = MakeLivenessMonitor(LivenessSettings(), At(0));
  Run(watch, true, 100, 100);
  CHECK(CheckLiveness(watch, true, At(5000)) == LivenessAction::kNone);
  CHECK(Run(watch, true, 5100, 5200) == LivenessAction::kNone);
}

TEST_CASE("silence: a connection at rest is not suspected") {
  LivenessMonitor watch = MakeLivenessMonitor(LivenessSettings(), At(0));
  CHECK(Run(watch, false, 100, 5000) == LivenessAction::kNone);
  // The first call after the rest shows soon whether the peer is there.
  CHECK(Run(watch, true, 5100, 5200) == LivenessAction::kSendHeartbeat);
  CHECK(Run(watch, true, 5300, 5400) == LivenessAction::kSuspect);
}

}  // namespace
}  // namespace boragepaddle::event
