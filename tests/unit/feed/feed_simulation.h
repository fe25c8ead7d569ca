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

/// Model of the store, with changes in the order of their revisions.
struct SimulatedStore {
  Replica content;
  bool down = false;
};

/// One node: the production decision functions and a simplified client of the
/// store.
struct SimulatedNode {
  FeedState state;
  Replica replica;
  /// Neither runs nor answers: paused or crashed.
  bool frozen = false;
  /// The node can reach the store; otherwise its calls fail at once.
  bool reaches_store = true;
  /// Calls to the store get no answer and end with their response timeout.
  bool store_is_silent = false;
  /// The call in progress was made, or waited, while the store was silent, so
  /// it gets no answer even if the store is back.
  bool call_is_lost = false;
  bool follows_store = false;
  absl::Time next_call;
  absl::Time call_deadline;
  /// When a call without an answer fails.
  absl::Time response_deadline;
  uint32_t failures = 0;
  std::set<size_t> subscribers;
  uint64_t sent_bytes = 0;
};

/// Simulation of several nodes, a store and the messages between them on one
/// virtual clock.
struct FeedSimulation {
  /// Distributes the hosts over the zones; their copies are empty.
  FeedSimulation(size_t nodes, size_t zones, uint64_t seed);

  void RunFor(absl::Duration time);
  /// Writes a key to the store.
  void Put(const std::string& key);
  void Remove(const std::string& key);
  /// The store loses what was written since the copy was made.
  void ReturnFromCopy(const Replica& copy);
  /// Number of nodes whose items differ from those of the store, without frozen
  /// nodes.
  size_t CountOutdated() const;
  /// Time until no node is outdated; infinite if longer than the limit.
  absl::Duration TimeToConverge(absl::Duration limit);
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
  void NotifyIfDue(size_t index);
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
