#ifndef BORAGEPADDLE_TESTS_UNIT_FEED_FEED_SIMULATION_H_
#define BORAGEPADDLE_TESTS_UNIT_FEED_FEED_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "boragepaddle/feed/feed_state.h"
#include "boragepaddle/feed/replica.h"

namespace boragepaddle::feed {

/// The store: changes in the order of their revisions.
struct SimulatedStore {
  Replica content;
  bool down = false;
};

/// One node as its decision functions, with the store's client simplified.
struct SimulatedNode {
  FeedState state;
  Replica replica;
  /// Takes no part: frozen, or dead.
  bool frozen = false;
  /// The store answers it.
  bool reaches_store = true;
  bool follows_store = false;
  absl::Time next_call;
  absl::Time call_deadline;
  uint32_t failures = 0;
  absl::Time notice_sent_at = absl::InfinitePast();
  bool was_current = false;
  std::set<size_t> subscribers;
  uint64_t sent_bytes = 0;
};

/// Several nodes, a store and the messages between them on one clock.
struct FeedSimulation {
  /// Hosts are spread over the zones; their copies are empty.
  FeedSimulation(size_t nodes, size_t zones, uint64_t seed);

  void RunFor(absl::Duration time);
  /// Writes a key of the store.
  void Put(const std::string& key);
  void Remove(const std::string& key);
  /// Nodes whose items differ from the store's, frozen ones apart.
  size_t CountOutdated() const;
  /// Time until no node is outdated, at most the bound; infinite if longer.
  absl::Duration TimeToConverge(absl::Duration bound);
  std::vector<size_t> Readers() const;
  size_t CountReading() const;

  SimulatedStore store;
  std::vector<SimulatedNode> nodes;
  std::map<std::string, size_t> by_address;
  absl::Time now;
  uint64_t store_calls = 0;
  uint64_t messages = 0;

 private:
  void Step();
  void CallStore(SimulatedNode& node);
  void Tick(size_t index);
  void Fetch(size_t index);
  void NotifySubscribers(size_t index);
  void Apply(size_t index, ReplicaUpdate page);
  void Schedule(size_t to, std::function<void()> action);
  void SendStamp(size_t from, size_t to);
  schema::FeedStamp StampOf(const SimulatedNode& node) const;
  const std::string& AddressOf(size_t index) const;

  std::mt19937_64 random;
  std::multimap<absl::Time, std::pair<size_t, std::function<void()>>> queue;
  absl::Time last_tick;
};

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_TESTS_UNIT_FEED_FEED_SIMULATION_H_
