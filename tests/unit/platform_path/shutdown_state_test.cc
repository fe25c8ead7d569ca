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

// Guards against a stop that takes longer than it must when nothing runs.
TEST_CASE("stop: without requests it ends when clients have learned of it") {
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
// node of its last worker alive: its calls were refused for 3.2 s.
TEST_CASE("stop: the worker takes calls while requests of clients run") {
  ShutdownState state;
  Advance(state, At(2600, 1, 20));
  CHECK(state.refuses_roots);
  CHECK_FALSE(state.refuses_calls);
  Advance(state, At(5280, 1, 20));
  CHECK_FALSE(state.refuses_calls);
  CHECK_FALSE(state.listener_closed);
  // Calls that start now would be broken off.
  Advance(state, At(5300, 1, 20));
  CHECK(state.refuses_calls);
  CHECK_FALSE(state.ended);
  Advance(state, At(5700, 1, 0));
  CHECK(state.ended);
  CHECK_FALSE(state.drained);
}

// Guards against running calls whose own calls find a closed listener.
TEST_CASE("stop: the listener stays open until the worker's calls end") {
  ShutdownState state;
  Advance(state, At(2600, 0, 3));
  CHECK(state.refuses_calls);
  CHECK_FALSE(state.listener_closed);
  Advance(state, At(3400, 0, 0));
  CHECK(state.listener_closed);
  CHECK_FALSE(state.ended);
  // A connection that was accepted last still gets its answer.
  Advance(state, At(3470, 1, 0));
  CHECK_FALSE(state.ended);
  Advance(state, At(3500, 0, 0));
  CHECK(state.ended);
}

// Guards against calls of a slow worker that are broken off at the end.
TEST_CASE("stop: a slow worker stops taking calls earlier") {
  ShutdownState state;
  ShutdownProgress progress = At(3720, 1, 20);
  progress.mean_call_time = absl::Milliseconds(900);
  Advance(state, progress);
  CHECK(state.refuses_calls);
}

}  // namespace
}  // namespace boragepaddle::proxy
