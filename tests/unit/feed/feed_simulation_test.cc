// Replication of changes of the store, with the decision functions of many
// simulated nodes.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "boragepaddle/event/prefix_watcher.h"
#include "tests/unit/feed/feed_simulation.h"

namespace boragepaddle::feed {
namespace {

/// Shortest time that deployments allow for a change, `drain_s` and
/// `config_apply_s`, less the batching delay and the latency of the store.
constexpr absl::Duration kMaxDelay = absl::Milliseconds(1700);

/// After a disturbance of the store, changes may take this much longer, for at
/// most the contact time.
constexpr absl::Duration kMaxStretch = absl::Seconds(5);
constexpr absl::Duration kContactTime = absl::Seconds(3);

FeedSimulation MakeConverged(size_t nodes, uint64_t seed = 1) {
  FeedSimulation simulation(nodes, 5, seed);
  simulation.Put("op/config");
  for (size_t index = 0; index < 20; ++index) {
    simulation.Put(absl::StrCat("servers/", index));
  }
  simulation.RunFor(absl::Seconds(10));
  REQUIRE(simulation.CountOutdated() == 0);
  return simulation;
}

/// Long polls of all readers together in the time.
uint64_t MaxPolls(absl::Duration time) {
  const double polls =
      std::ceil(absl::FDivDuration(time, event::PrefixWatcherSettings().wait));
  return static_cast<uint64_t>(polls) * TreeSettings().readers;
}

TEST_CASE(
    "The number of nodes that read the store does not depend on the fleet "
    "size") {
  for (const size_t size : {30, 100, 300, 1000}) {
    CAPTURE(size);
    FeedSimulation simulation = MakeConverged(size);
    CHECK(simulation.CountReading() == TreeSettings().readers);
    const uint64_t calls = simulation.store_calls;
    simulation.RunFor(absl::Seconds(20));
    CHECK(simulation.store_calls - calls <= MaxPolls(absl::Seconds(20)));
    simulation.Put("servers/new");
    CHECK(simulation.TimeToConverge(absl::Seconds(1)) <
          absl::Milliseconds(300));
  }
}

TEST_CASE("Idle replication stays within the control budget of each node") {
  // 2 KB/s is the control budget of a node in a fleet of 25,000 nodes.
  FeedSimulation simulation = MakeConverged(1000);
  for (SimulatedNode& node : simulation.nodes) {
    node.sent_bytes = 0;
  }
  simulation.RunFor(absl::Seconds(10));
  uint64_t total = 0;
  uint64_t most = 0;
  for (const SimulatedNode& node : simulation.nodes) {
    total += node.sent_bytes;
    most = std::max(most, node.sent_bytes);
  }
  CHECK(total / simulation.nodes.size() / 10 < 2000);
  // The tree is uneven, but no node may become a bottleneck.
  CHECK(most / 10 < 10000);
}

TEST_CASE("Changes arrive in time while some readers are frozen") {
  for (const uint64_t seed : {1, 2, 3}) {
    for (const size_t size : {13, 195}) {
      FeedSimulation simulation = MakeConverged(size, seed);
      const auto readers = simulation.Readers();
      for (size_t index = 0; index < 3; ++index) {
        simulation.nodes[readers[index]].frozen = true;
      }
      simulation.Remove("servers/3");
      CHECK(simulation.TimeToConverge(absl::Seconds(10)) < kMaxDelay);
    }
  }
}

TEST_CASE("Changes arrive in time while all readers are frozen") {
  FeedSimulation simulation = MakeConverged(195);
  for (const size_t reader : simulation.Readers()) {
    simulation.nodes[reader].frozen = true;
  }
  simulation.Remove("servers/3");
  CHECK(simulation.TimeToConverge(absl::Seconds(10)) < kMaxDelay);
}

TEST_CASE(
    "Readers without access to the store receive changes from other readers") {
  FeedSimulation simulation = MakeConverged(195);
  const auto readers = simulation.Readers();
  for (size_t index = 0; index + 1 < readers.size(); ++index) {
    simulation.nodes[readers[index]].reaches_store = false;
  }
  simulation.Put("op/config");
  CHECK(simulation.TimeToConverge(absl::Seconds(10)) < absl::Milliseconds(300));
}

// The store rejects all readers and serves the other nodes.
TEST_CASE("Any node that reaches the store is a source for the others") {
  for (const uint64_t seed : {1, 2, 3}) {
    FeedSimulation simulation = MakeConverged(195, seed);
    for (const size_t reader : simulation.Readers()) {
      simulation.nodes[reader].reaches_store = false;
    }
    simulation.RunFor(absl::Seconds(12));
    simulation.Put("op/config");
    CHECK(simulation.TimeToConverge(absl::Seconds(20)) < kMaxDelay);
    // Only a few nodes continue to read.
    CHECK(simulation.CountReading() < 4 * TreeSettings().readers);
    for (const size_t reader : simulation.Readers()) {
      simulation.nodes[reader].reaches_store = true;
    }
    simulation.RunFor(absl::Seconds(15));
    CHECK(simulation.CountReading() == TreeSettings().readers);
  }
}

// Guards against configurations and removals that come into force too late
// because nodes rely on readers that have silently lost the store.
TEST_CASE("Changes arrive in time right after all readers lose the store") {
  for (const size_t size : {13, 68, 195}) {
    for (int phase = 0; phase < 10; ++phase) {
      CAPTURE(size);
      CAPTURE(phase);
      FeedSimulation simulation = MakeConverged(size, 1 + phase);
      // The readers are at different points of their calls to the store.
      simulation.RunFor(absl::Milliseconds(530) * phase);
      for (const size_t reader : simulation.Readers()) {
        simulation.nodes[reader].store_is_silent = true;
      }
      simulation.RunFor(absl::Milliseconds(100));
      simulation.Put("op/config");
      CHECK(simulation.TimeToConverge(absl::Seconds(20)) < kMaxDelay);
    }
  }
}

// Guards against readers that wait for answers to calls from the last moments
// of a silent outage while the configuration changes.
TEST_CASE("Changes after a silent outage arrive although its calls are lost") {
  for (const size_t size : {13, 68, 195}) {
    for (int phase = 0; phase < 10; ++phase) {
      CAPTURE(size);
      CAPTURE(phase);
      FeedSimulation simulation = MakeConverged(size, 1 + phase);
      const auto set_silent = [&simulation](bool silent) {
        for (SimulatedNode& node : simulation.nodes) {
          node.store_is_silent = silent;
        }
      };
      set_silent(true);
      simulation.RunFor(absl::Seconds(3) + absl::Milliseconds(170) * phase);
      set_silent(false);
      simulation.Put("op/config");
      CHECK(simulation.TimeToConverge(absl::Seconds(20)) <
            kMaxDelay + kMaxStretch);
      simulation.RunFor(kContactTime);
      simulation.Put("op/config");
      CHECK(simulation.TimeToConverge(absl::Seconds(20)) < kMaxDelay);
    }
  }
}

TEST_CASE("A store that is down gets few calls, and its recovery is detected") {
  for (const size_t size : {30, 195, 1000}) {
    CAPTURE(size);
    FeedSimulation simulation = MakeConverged(size);
    simulation.store.down = true;
    const uint64_t before = simulation.store_calls;
    simulation.RunFor(absl::Seconds(20));
    const uint64_t calls = simulation.store_calls - before;
    // Readers retry every half second; all other nodes share one rate of
    // attempts.
    const double most =
        20 * (2.0 * static_cast<double>(TreeSettings().readers) +
              FeedSettings().fleet_read_attempts_per_s);
    CHECK(static_cast<double>(calls) < 1.5 * most);
    simulation.store.down = false;
    simulation.Put("op/config");
    CHECK(simulation.TimeToConverge(absl::Seconds(10)) < kMaxDelay);
    // All nodes know of the outage, so that expired entries may be listed
    // again.
    for (const SimulatedNode& node : simulation.nodes) {
      CHECK(simulation.now - LastOutage(node.state, simulation.now) <
            absl::Seconds(2));
    }
  }
}

TEST_CASE("One reader that loses the store is not reported as an outage") {
  FeedSimulation simulation = MakeConverged(195);
  simulation.nodes[simulation.Readers()[0]].reaches_store = false;
  simulation.RunFor(absl::Seconds(5));
  for (const SimulatedNode& node : simulation.nodes) {
    CHECK(LastOutage(node.state, simulation.now) == absl::InfinitePast());
  }
}

// Guards against the rollback of items by the stale copy of a resumed node.
TEST_CASE("A reader that resumes with a stale copy reverts no items") {
  FeedSimulation simulation = MakeConverged(30);
  SimulatedNode& reader = simulation.nodes[simulation.Readers()[0]];
  reader.frozen = true;
  simulation.RunFor(absl::Seconds(3));
  simulation.Remove("servers/3");
  REQUIRE(simulation.TimeToConverge(absl::Seconds(10)) < kMaxDelay);
  OnProcessPause(reader.state, simulation.now);
  reader.frozen = false;
  for (int step = 0; step < 200; ++step) {
    simulation.RunFor(absl::Milliseconds(10));
    for (const SimulatedNode& node : simulation.nodes) {
      if (&node != &reader) {
        CHECK_FALSE(node.replica.items.contains("servers/3"));
      }
    }
  }
  CHECK(simulation.CountOutdated() == 0);
}

TEST_CASE(
    "A simultaneous start of all nodes converges quickly with few calls") {
  for (const size_t size : {30, 195, 1000}) {
    CAPTURE(size);
    FeedSimulation simulation(size, 5, 1);
    const absl::Time started = simulation.now;
    simulation.Put("op/config");
    CHECK(simulation.TimeToConverge(absl::Seconds(10)) <
          absl::Milliseconds(600));
    simulation.RunFor(absl::Seconds(2));
    // Each reader lists once and polls after that.
    CHECK(simulation.store_calls <=
          TreeSettings().readers + MaxPolls(simulation.now - started));
  }
}

// Guards against nodes that keep what the store lost, from peers or on their
// own, and against many readings of the store after its return.
TEST_CASE("All nodes follow a store that comes back from an older copy") {
  for (const size_t size : {4, 13, 195, 1000}) {
    for (const uint64_t seed : {1, 2, 3}) {
      CAPTURE(size);
      CAPTURE(seed);
      FeedSimulation simulation = MakeConverged(size, seed);
      const Replica copy = simulation.store.content;
      for (size_t index = 0; index < 6; ++index) {
        simulation.Put("op/config");
        simulation.Put(absl::StrCat("servers/lost", index));
        simulation.Remove(absl::StrCat("servers/", index));
        simulation.RunFor(absl::Milliseconds(400));
      }
      simulation.store.down = true;
      simulation.RunFor(absl::Milliseconds(700));
      // Frozen over the return, and back with the state before it.
      SimulatedNode& frozen = simulation.nodes[size / 2];
      frozen.frozen = seed > 1;
      simulation.ReturnFromCopy(copy);
      simulation.store.down = false;
      const uint64_t calls = simulation.store_calls;
      simulation.RunFor(absl::Seconds(1));
      CHECK(simulation.store_calls - calls <= 3 * TreeSettings().readers);
      // Its revision was given out before the return.
      simulation.Put("op/config");
      CHECK(simulation.TimeToConverge(absl::Seconds(5)) < kMaxDelay);
      frozen.frozen = false;
      CHECK(simulation.TimeToConverge(absl::Seconds(5)) < kMaxDelay);
      simulation.RunFor(absl::Seconds(5));
      CHECK(simulation.CountOutdated() == 0);
    }
  }
}

}  // namespace
}  // namespace boragepaddle::feed
