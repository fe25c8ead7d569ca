#include "boragepaddle/proxy/shutdown_state.h"

#include <doctest/doctest.h>

namespace boragepaddle::proxy {
namespace {

ShutdownProgress At(int ms, size_t roots, size_t worker_calls) {
  ShutdownProgress progress;
  progress.elapsed = absl::Milliseconds(ms);
  progress.root_requests = roots;
  progress.entry_requests = roots;
  progress.worker_calls = worker_calls;
  progress.busy_connections = roots;
  progress.mean_call_time = absl::Milliseconds(100);
  return progress;
}

// Guards against a shutdown that takes longer than necessary when nothing is in
// progress.
TEST_CASE("stop: an idle node ends after the accept period") {
  ShutdownState state;
  Advance(state, At(2580, 0, 0));
  CHECK_FALSE(state.refuses_roots);
  CHECK_FALSE(state.refuses_calls);
  Advance(state, At(2600, 0, 0));
  CHECK(state.refuses_roots);
  CHECK(state.refuses_calls);
  CHECK(state.listener_closed);
  CHECK_FALSE(state.ended);
  Advance(state, At(2660, 0, 0));
  CHECK(state.ended);
  CHECK(state.drained);
}

// Guards against a service without any worker while a slow request keeps the
// node of its last worker alive: the calls of this service were refused for 3.2
// s.
TEST_CASE(
    "stop: the worker accepts calls while root requests are in progress") {
  ShutdownState state;
  Advance(state, At(2600, 1, 20));
  CHECK(state.refuses_roots);
  CHECK_FALSE(state.refuses_calls);
  Advance(state, At(5280, 1, 20));
  CHECK_FALSE(state.refuses_calls);
  CHECK_FALSE(state.listener_closed);
  // Calls that started now would be aborted.
  Advance(state, At(5300, 1, 20));
  CHECK(state.refuses_calls);
  CHECK_FALSE(state.ended);
  Advance(state, At(5700, 1, 0));
  CHECK(state.ended);
  CHECK_FALSE(state.drained);
}

// Guards against running calls whose nested calls find a closed listener.
TEST_CASE("stop: the listener stays open until the calls of the worker end") {
  ShutdownState state;
  Advance(state, At(2600, 0, 3));
  CHECK(state.refuses_calls);
  CHECK_FALSE(state.listener_closed);
  Advance(state, At(3400, 0, 0));
  CHECK(state.listener_closed);
  CHECK_FALSE(state.ended);
  // A connection that was accepted last is still served.
  Advance(state, At(3470, 1, 0));
  CHECK_FALSE(state.ended);
  Advance(state, At(3500, 0, 0));
  CHECK(state.ended);
}

// Guards against calls of a slow worker that are aborted at the end of the
// grace period.
TEST_CASE("stop: a slow worker refuses calls earlier") {
  ShutdownState state;
  ShutdownProgress progress = At(3720, 1, 20);
  progress.mean_call_time = absl::Milliseconds(900);
  Advance(state, progress);
  CHECK(state.refuses_calls);
}

// Guards against requests that are accepted late in the grace period and
// aborted at its end: one call in many takes much longer than the mean.
TEST_CASE("stop: calls are refused while the longest ones could not complete") {
  ShutdownState state;
  ShutdownProgress progress = At(3180, 1, 20);
  progress.longest_call_time = absl::Seconds(2);
  Advance(state, progress);
  CHECK_FALSE(state.refuses_calls);
  progress.elapsed = absl::Milliseconds(3220);
  Advance(state, progress);
  CHECK(state.refuses_calls);
  CHECK_FALSE(state.ended);

  // Not before new root requests are refused.
  state = ShutdownState();
  progress.elapsed = absl::Milliseconds(2580);
  progress.longest_call_time = absl::Seconds(10);
  Advance(state, progress);
  CHECK_FALSE(state.refuses_calls);
  progress.elapsed = absl::Milliseconds(2600);
  Advance(state, progress);
  CHECK(state.refuses_calls);
}

// Guards against calls that are cut at the end of a planned stop because their
// route was not called lately, so that no recent time covers them.
TEST_CASE("stop: a call of an unknown duration needs its whole time limit") {
  const absl::Time started = absl::UnixEpoch();
  ShutdownState state;
  state.started_at = started;
  CallTimeBounds call;
  call.limit = absl::Seconds(30);
  call.longest_recent = absl::InfiniteDuration();
  CHECK(FitsBeforeEnd(state, call, started + absl::Milliseconds(5600)));

  state.refuses_roots = true;
  CHECK_FALSE(FitsBeforeEnd(state, call, started + absl::Milliseconds(2600)));
  // The process ends after 5.7 s, and the answer takes up to 0.06 s.
  call.limit = absl::Milliseconds(1500);
  CHECK(FitsBeforeEnd(state, call, started + absl::Milliseconds(4140)));
  CHECK_FALSE(FitsBeforeEnd(state, call, started + absl::Milliseconds(4150)));
}

// Guards against calls of the local worker that are refused although they would
// complete, which fails the requests that make them.
TEST_CASE("stop: a call of a known route needs its longest recent time") {
  const absl::Time started = absl::UnixEpoch();
  ShutdownState state;
  state.started_at = started;
  state.refuses_roots = true;
  CallTimeBounds call;
  call.limit = absl::Seconds(30);
  call.longest_recent = absl::Seconds(1);
  CHECK(FitsBeforeEnd(state, call, started + absl::Milliseconds(4390)));
  CHECK_FALSE(FitsBeforeEnd(state, call, started + absl::Milliseconds(4400)));
  // Not less than the minimum.
  call.longest_recent = absl::Milliseconds(1);
  CHECK(FitsBeforeEnd(state, call, started + absl::Milliseconds(5340)));
  CHECK_FALSE(FitsBeforeEnd(state, call, started + absl::Milliseconds(5350)));
}

}  // namespace
}  // namespace boragepaddle::proxy
