// Spreading of the store's changes, with the decision functions of many nodes.

#include <doctest/doctest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "tests/unit/feed/feed_simulation.h"

namespace boragepaddle::feed {
namespace {

/// Shortest time that deployments allow for a change, `drain_s` and
/// `config_apply_s`, less the gather pause and the way to the store.
constexpr absl::Duration kBound = absl::Milliseconds(1700);

FeedSimulation MakeSettled(size_t nodes, uint64_t seed = 1) {
  FeedSimulation fleet(nodes, 5, seed);
  fleet.Put("op/config");
  for (size_t index = 0; index < 20; ++index) {
    fleet.Put(absl::StrCat("servers/", index));
  }
  fleet.RunFor(absl::Seconds(10));
  REQUIRE(fleet.CountOutdated() == 0);
  return fleet;
}

TEST_CASE("The same few nodes read the store at every size of the fleet") {
  for (const size_t size : {30, 100, 300, 1000}) {
    CAPTURE(size);
    FeedSimulation fleet = MakeSettled(size);
    CHECK(fleet.CountReading() == TreeSettings().readers);
    const uint64_t calls = fleet.store_calls;
    fleet.RunFor(absl::Seconds(20));
    // One call a reader for each wait of 5 s.
    CHECK(fleet.store_calls - calls <= 5 * TreeSettings().readers);
    fleet.Put("servers/new");
    CHECK(fleet.TimeToConverge(absl::Seconds(1)) < absl::Milliseconds(300));
  }
}

TEST_CASE("Idle feeds stay within the control budget of each node") {
  // 2 KB/s for all control of a node at 25,000 nodes.
  FeedSimulation fleet = MakeSettled(1000);
  for (SimulatedNode& node : fleet.nodes) {
    node.sent_bytes = 0;
  }
  fleet.RunFor(absl::Seconds(10));
  uint64_t total = 0;
  uint64_t most = 0;
  for (const SimulatedNode& node : fleet.nodes) {
    total += node.sent_bytes;
    most = std::max(most, node.sent_bytes);
  }
  CHECK(total / fleet.nodes.size() / 10 < 2000);
  // The tree is uneven; none may be a bottleneck.
  CHECK(most / 10 < 10000);
}

TEST_CASE("Frozen readers delay nobody beyond the bound") {
  for (const uint64_t seed : {1, 2, 3}) {
    for (const size_t size : {13, 195}) {
      FeedSimulation fleet = MakeSettled(size, seed);
      const auto readers = fleet.Readers();
      for (size_t index = 0; index < 3; ++index) {
        fleet.nodes[readers[index]].frozen = true;
      }
      fleet.Remove("servers/3");
      CHECK(fleet.TimeToConverge(absl::Seconds(10)) < kBound);
    }
  }
}

TEST_CASE("All readers frozen at once delay nobody beyond the bound") {
  FeedSimulation fleet = MakeSettled(195);
  for (const size_t reader : fleet.Readers()) {
    fleet.nodes[reader].frozen = true;
  }
  fleet.Remove("servers/3");
  CHECK(fleet.TimeToConverge(absl::Seconds(10)) < kBound);
}

TEST_CASE("Readers without the store are told by the others") {
  FeedSimulation fleet = MakeSettled(195);
  const auto readers = fleet.Readers();
  for (size_t index = 0; index + 1 < readers.size(); ++index) {
    fleet.nodes[readers[index]].reaches_store = false;
  }
  fleet.Put("op/config");
  CHECK(fleet.TimeToConverge(absl::Seconds(10)) < absl::Milliseconds(300));
}

// The store turns away all readers and serves the other nodes.
TEST_CASE("Any node that reaches the store feeds the others") {
  for (const uint64_t seed : {1, 2, 3}) {
    FeedSimulation fleet = MakeSettled(195, seed);
    for (const size_t reader : fleet.Readers()) {
      fleet.nodes[reader].reaches_store = false;
    }
    fleet.RunFor(absl::Seconds(12));
    fleet.Put("op/config");
    CHECK(fleet.TimeToConverge(absl::Seconds(20)) < kBound);
    // And few of them go on reading.
    CHECK(fleet.CountReading() < 4 * TreeSettings().readers);
    for (const size_t reader : fleet.Readers()) {
      fleet.nodes[reader].reaches_store = true;
    }
    fleet.RunFor(absl::Seconds(15));
    CHECK(fleet.CountReading() == TreeSettings().readers);
  }
}

TEST_CASE("A store that is down is not stormed, and its return is noticed") {
  for (const size_t size : {30, 195, 1000}) {
    CAPTURE(size);
    FeedSimulation fleet = MakeSettled(size);
    fleet.store.down = true;
    const uint64_t before = fleet.store_calls;
    fleet.RunFor(absl::Seconds(20));
    const uint64_t calls = fleet.store_calls - before;
    // Readers every half second, and the attempts of all others together.
    const double most =
        20 * (2.0 * static_cast<double>(TreeSettings().readers) +
              FeedSettings().fleet_read_attempts_per_s);
    CHECK(static_cast<double>(calls) < 1.5 * most);
    fleet.store.down = false;
    fleet.Put("op/config");
    CHECK(fleet.TimeToConverge(absl::Seconds(10)) < kBound);
    // All know of the outage, so that entries that lapsed may return.
    for (const SimulatedNode& node : fleet.nodes) {
      CHECK(fleet.now - LastOutage(node.state, fleet.now) < absl::Seconds(2));
    }
  }
}

TEST_CASE("One reader that loses the store is no outage for the fleet") {
  FeedSimulation fleet = MakeSettled(195);
  fleet.nodes[fleet.Readers()[0]].reaches_store = false;
  fleet.RunFor(absl::Seconds(5));
  for (const SimulatedNode& node : fleet.nodes) {
    CHECK(LastOutage(node.state, fleet.now) == absl::InfinitePast());
  }
}

// What a restarted or paused peer tells may be old.
TEST_CASE("A reader that wakes with an old copy moves nobody backwards") {
  FeedSimulation fleet = MakeSettled(30);
  SimulatedNode& reader = fleet.nodes[fleet.Readers()[0]];
  reader.frozen = true;
  fleet.RunFor(absl::Seconds(3));
  fleet.Remove("servers/3");
  REQUIRE(fleet.TimeToConverge(absl::Seconds(10)) < kBound);
  OnProcessPause(reader.state, fleet.now);
  reader.frozen = false;
  for (int step = 0; step < 200; ++step) {
    fleet.RunFor(absl::Milliseconds(10));
    for (const SimulatedNode& node : fleet.nodes) {
      if (&node != &reader) {
        CHECK_FALSE(node.replica.items.contains("servers/3"));
      }
    }
  }
  CHECK(fleet.CountOutdated() == 0);
}

TEST_CASE("A fleet that starts at once is ready soon and with few calls") {
  for (const size_t size : {30, 195, 1000}) {
    CAPTURE(size);
    FeedSimulation fleet(size, 5, 1);
    fleet.Put("op/config");
    CHECK(fleet.TimeToConverge(absl::Seconds(10)) < absl::Milliseconds(600));
    fleet.RunFor(absl::Seconds(2));
    CHECK(fleet.store_calls <= 3 * TreeSettings().readers);
  }
}

}  // namespace
}  // namespace boragepaddle::feed
