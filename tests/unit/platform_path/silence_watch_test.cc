#include "boragepaddle/event/silence_watch.h"

#include <doctest/doctest.h>

namespace boragepaddle::event {
namespace {

absl::Time At(int ms) {
  return absl::UnixEpoch() + absl::Seconds(100) + absl::Milliseconds(ms);
}

/// Checks every 100 ms up to and including `until`; returns the last action
/// other than none.
SilenceSign Run(SilenceWatch& watch, bool waiting, int from, int until) {
  SilenceSign last = SilenceSign::kNothing;
  for (int ms = from; ms <= until; ms += 100) {
    const SilenceSign sign = CheckSilence(watch, waiting, At(ms));
    last = sign == SilenceSign::kNothing ? last : sign;
  }
  return last;
}

// Guards against calls that wait for a frozen or unreachable node until their
// deadline, although another worker could run them.
TEST_CASE("silence: a peer that does not answer a heartbeat is suspected") {
  SilenceWatch watch = MakeSilenceWatch(SilenceSettings(), At(0));
  CHECK(Run(watch, true, 100, 200) == SilenceSign::kNothing);
  CHECK(Run(watch, true, 300, 300) == SilenceSign::kSendHeartbeat);
  CHECK(Run(watch, true, 400, 600) == SilenceSign::kSuspect);
  CHECK(Run(watch, true, 700, 2200) == SilenceSign::kSendHeartbeat);
  CHECK(Run(watch, true, 2300, 2300) == SilenceSign::kDead);
}

TEST_CASE("silence: any bytes received from the peer clear the suspicion") {
  SilenceWatch watch = MakeSilenceWatch(SilenceSettings(), At(0));
  Run(watch, true, 100, 600);
  CHECK(watch.suspected);
  OnHeard(watch, At(650));
  CHECK_FALSE(watch.suspected);
  CHECK(Run(watch, true, 700, 1100) == SilenceSign::kSendHeartbeat);
  CHECK(Run(watch, true, 1200, 1200) == SilenceSign::kSuspect);
}

// Guards against a node that suspects all peers after a pause of its own.
TEST_CASE("silence: a pause of this process does not count against the peer") {
  SilenceWatch watch = MakeSilenceWatch(SilenceSettings(), At(0));
  Run(watch, true, 100, 100);
  CHECK(CheckSilence(watch, true, At(5000)) == SilenceSign::kNothing);
  CHECK(Run(watch, true, 5100, 5200) == SilenceSign::kNothing);
}

TEST_CASE("silence: an idle connection is not suspected") {
  SilenceWatch watch = MakeSilenceWatch(SilenceSettings(), At(0));
  CHECK(Run(watch, false, 100, 5000) == SilenceSign::kNothing);
  // The first call after the idle time soon detects whether the peer is alive.
  CHECK(Run(watch, true, 5100, 5200) == SilenceSign::kSendHeartbeat);
  CHECK(Run(watch, true, 5300, 5400) == SilenceSign::kSuspect);
}

}  // namespace
}  // namespace boragepaddle::event
