#include "boragepaddle/admission/worker_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>

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

}  // namespace
}  // namespace boragepaddle::admission
