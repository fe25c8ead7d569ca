#include "boragepaddle/admission/worker_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace boragepaddle::admission {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

WorkerLimiter MakeGate(uint32_t slots) {
  WorkerLimiterSettings settings;
  settings.slot_share = 1;
  settings.initial_mean = absl::Milliseconds(20);
  WorkerLimiter gate = MakeWorkerLimiter(settings);
  gate.slots = slots;
  return gate;
}

SlotRequest MakeCall(uint64_t id, uint32_t priority, bool nested = false) {
  SlotRequest call;
  call.id = id;
  call.priority = priority;
  call.nested = nested;
  call.objective = absl::Milliseconds(800);
  call.give_up_at = At(5);
  return call;
}

TEST_CASE("A worker never gets more calls than its limit") {
  WorkerLimiter gate = MakeGate(2);
  size_t started = 0;
  for (uint64_t id = 1; id <= 20; ++id) {
    started += OnSlotRequest(gate, MakeCall(id, 0), At(0)).start.size();
  }
  CHECK(started == 2);
  CHECK(gate.running.size() == 2);
}

TEST_CASE("Nested calls start first, then root requests by priority") {
  WorkerLimiter gate = MakeGate(1);
  OnSlotRequest(gate, MakeCall(1, 2), At(0));
  OnSlotRequest(gate, MakeCall(2, 2), At(0));
  OnSlotRequest(gate, MakeCall(3, 0), At(0));
  OnSlotRequest(gate, MakeCall(4, 1, /*nested=*/true), At(0));
  std::vector<uint64_t> order;
  for (uint64_t id = 1, turn = 0; turn < 3; ++turn) {
    const SlotDecisions actions =
        OnSlotReleased(gate, id, /*completed=*/false, At(0.01));
    REQUIRE(actions.start.size() == 1);
    id = actions.start.front();
    order.push_back(id);
  }
  CHECK(order == std::vector<uint64_t>{4, 3, 2});
}

TEST_CASE("A root request that would wait too long is refused on arrival") {
  WorkerLimiter gate = MakeGate(1);
  OnSlotRequest(gate, MakeCall(1, 0), At(0));
  size_t refused = 0;
  for (uint64_t id = 2; id <= 30; ++id) {
    refused += OnSlotRequest(gate, MakeCall(id, 0), At(0)).refuse.size();
  }
  // At most 100 ms of waiting, at 20 ms per call.
  CHECK(gate.queue.size() == 5);
  CHECK(refused == 24);
}

TEST_CASE("A refusal is made within an eighth of the latency objective") {
  WorkerLimiter gate = MakeGate(1);
  OnSlotRequest(gate, MakeCall(1, 0), At(0));
  OnSlotRequest(gate, MakeCall(2, 0), At(0));
  CHECK(OnLimiterTick(gate, At(0.099)).refuse.empty());
  CHECK(OnLimiterTick(gate, At(0.1)).refuse == std::vector<uint64_t>{2});
}

TEST_CASE("A cancelled call leaves the queue and is not started") {
  WorkerLimiter gate = MakeGate(1);
  OnSlotRequest(gate, MakeCall(1, 0), At(0));
  OnSlotRequest(gate, MakeCall(2, 0), At(0));
  CHECK(CancelSlotRequest(gate, 2));
  CHECK_FALSE(CancelSlotRequest(gate, 1));
  CHECK(OnSlotReleased(gate, 1, true, At(0.02)).start.empty());
}

TEST_CASE("A worker without slots starts nothing") {
  WorkerLimiter gate = MakeGate(0);
  CHECK(OnSlotRequest(gate, MakeCall(1, 0), At(0)).refuse.size() == 1);
}

// Guards against more calls at a worker than the rate that it named (rule
// LIMIT): at most 1.5 times that in any 4 s, and 5 calls more.
TEST_CASE("A worker gets no more calls per second than it accepts") {
  for (const double rate : {0.5, 9.4, 80.0}) {
    CAPTURE(rate);
    WorkerLimiter gate = MakeGate(40);
    SetMaxRate(gate, rate, At(0));
    std::vector<double> started_at;
    std::vector<uint64_t> running;
    uint64_t id = 0;
    for (double now = 0; now < 20; now += 0.005) {
      SlotDecisions decisions = OnSlotRequest(gate, MakeCall(++id, 0), At(now));
      for (const uint64_t ended : running) {
        const SlotDecisions more = OnSlotReleased(gate, ended, true, At(now));
        decisions.start.insert(decisions.start.end(), more.start.begin(),
                               more.start.end());
      }
      const SlotDecisions late = OnLimiterTick(gate, At(now));
      decisions.start.insert(decisions.start.end(), late.start.begin(),
                             late.start.end());
      running = decisions.start;
      started_at.insert(started_at.end(), running.size(), now);
    }
    for (const double from : started_at) {
      const auto in_window =
          std::count_if(started_at.begin(), started_at.end(),
                        [&](double at) { return at >= from && at < from + 4; });
      CHECK(static_cast<double>(in_window) <= 1.5 * rate * 4 + 5);
    }
    // The worker gets what it accepts.
    CHECK(static_cast<double>(started_at.size()) >= 0.9 * rate * 20 - 1);
  }
}

TEST_CASE("Without a rate limit calls start as slots allow") {
  WorkerLimiter gate = MakeGate(40);
  SetMaxRate(gate, 1, At(0));
  CHECK(OnSlotRequest(gate, MakeCall(1, 0), At(0)).start.empty());
  CHECK(RateUsed(gate, At(0)) == 1);
  SetMaxRate(gate, std::numeric_limits<double>::infinity(), At(0.1));
  CHECK(RateUsed(gate, At(0.1)) == 0);
  size_t started = 0;
  for (uint64_t id = 2; id < 30; ++id) {
    started += OnSlotRequest(gate, MakeCall(id, 0), At(0.1)).start.size();
  }
  started += OnLimiterTick(gate, At(0.12)).start.size();
  CHECK(started >= 28);
}

}  // namespace
}  // namespace boragepaddle::admission
