#include "boragepaddle/proxy/shutdown_state.h"

#include <doctest/doctest.h>

namespace boragepaddle::proxy {
namespace {

StopProgress At(int ms, size_t roots, size_t worker_calls) {
  StopProgress progress;
  progress.elapsed = absl::Milliseconds(ms);
  progress.root_requests = roots;
  progress.entry_requests = roots;
  progress.worker_calls = worker_calls;
  progress.busy_connections = roots;
  progress.mean_call = absl::Milliseconds(100);
  return progress;
}

// Guards against a stop that takes longer than it must when nothing runs.
TEST_CASE("stop: without requests it ends when clients have learned of it") {
  StopPlan plan;
  Advance(plan, At(2580, 0, 0));
  CHECK_FALSE(plan.refuses_roots);
  CHECK_FALSE(plan.refuses_calls);
  Advance(plan, At(2600, 0, 0));
  CHECK(plan.refuses_roots);
  CHECK(plan.refuses_calls);
  CHECK(plan.listener_closed);
  CHECK_FALSE(plan.ended);
  Advance(plan, At(2660, 0, 0));
  CHECK(plan.ended);
  CHECK(plan.drained);
}

// Guards against a service without any worker while a slow request keeps the
// node of its last worker alive: its calls were refused for 3.2 s.
TEST_CASE("stop: the worker takes calls while requests of clients run") {
  StopPlan plan;
  Advance(plan, At(2600, 1, 20));
  CHECK(plan.refuses_roots);
  CHECK_FALSE(plan.refuses_calls);
  Advance(plan, At(5280, 1, 20));
  CHECK_FALSE(plan.refuses_calls);
  CHECK_FALSE(plan.listener_closed);
  // Calls that start now would be broken off.
  Advance(plan, At(5300, 1, 20));
  CHECK(plan.refuses_calls);
  CHECK_FALSE(plan.ended);
  Advance(plan, At(5700, 1, 0));
  CHECK(plan.ended);
  CHECK_FALSE(plan.drained);
}

// Guards against running calls whose own calls find a closed listener.
TEST_CASE("stop: the listener stays open until the worker's calls end") {
  StopPlan plan;
  Advance(plan, At(2600, 0, 3));
  CHECK(plan.refuses_calls);
  CHECK_FALSE(plan.listener_closed);
  Advance(plan, At(3400, 0, 0));
  CHECK(plan.listener_closed);
  CHECK_FALSE(plan.ended);
  // A connection that was accepted last still gets its answer.
  Advance(plan, At(3470, 1, 0));
  CHECK_FALSE(plan.ended);
  Advance(plan, At(3500, 0, 0));
  CHECK(plan.ended);
}

// Guards against calls of a slow worker that are broken off at the end.
TEST_CASE("stop: a slow worker stops taking calls earlier") {
  StopPlan plan;
  StopProgress progress = At(3720, 1, 20);
  progress.mean_call = absl::Milliseconds(900);
  Advance(plan, progress);
  CHECK(plan.refuses_calls);
}

}  // namespace
}  // namespace boragepaddle::proxy
