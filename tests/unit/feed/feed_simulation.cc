#include "tests/unit/feed/feed_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/event/prefix_watcher.h"

namespace boragepaddle::feed {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kLatency = absl::Milliseconds(2);
const event::PrefixWatcherSettings kWatch;
constexpr absl::Duration kChangeBatchDelay = absl::Milliseconds(250);

/// TCP and IP headers and the length prefix of the frame.
constexpr uint64_t kFrameOverhead = 56;

}  // namespace

FeedSimulation::FeedSimulation(size_t count, size_t zones, uint64_t seed)
    : now(absl::UnixEpoch() + absl::Seconds(1000)),
      random(seed),
      last_tick(now) {
  this->store.content.position.era = 1;
  std::vector<Host> hosts;
  for (size_t index = 0; index < count; ++index) {
    hosts.push_back({absl::StrCat("10.0.", index / 250, ".", index % 250),
                     absl::StrCat("z", index % zones)});
    this->by_address[hosts.back().address] = index;
  }
  const DistributionTree tree = BuildDistributionTree(TreeSettings(), hosts);
  for (const Host& host : hosts) {
    SimulatedNode node;
    node.state.self = host;
    SetDistributionTree(node.state, tree);
    this->nodes.push_back(std::move(node));
  }
}

const std::string& FeedSimulation::AddressOf(size_t index) const {
  return this->nodes[index].state.self.address;
}

void FeedSimulation::Put(const std::string& key) {
  const base::StorePosition before = this->store.content.position;
  const uint64_t revision = before.revision + 1;
  ApplyUpdate(this->store.content,
              {before,
               {before.era, revision},
               false,
               {{key, absl::StrCat("v", revision), revision, false}}});
}

void FeedSimulation::Remove(const std::string& key) {
  const base::StorePosition before = this->store.content.position;
  const uint64_t revision = before.revision + 1;
  ApplyUpdate(
      this->store.content,
      {before, {before.era, revision}, false, {{key, "", revision, true}}});
}

void FeedSimulation::ReturnFromCopy(const Replica& copy) {
  ReplicaUpdate restored = FullSnapshot(copy);
  restored.to.era = this->store.content.position.era + 1;
  ApplyUpdate(this->store.content, std::move(restored));
}

size_t FeedSimulation::CountOutdated() const {
  return static_cast<size_t>(std::count_if(
      this->nodes.begin(), this->nodes.end(), [&](const SimulatedNode& node) {
        return !node.frozen &&
               node.replica.digest != this->store.content.digest;
      }));
}

absl::Duration FeedSimulation::TimeToConverge(absl::Duration limit) {
  const absl::Time start = this->now;
  while (this->CountOutdated() > 0) {
    if (this->now - start > limit) {
      return absl::InfiniteDuration();
    }
    this->Step();
  }
  return this->now - start;
}

std::vector<size_t> FeedSimulation::Readers() const {
  std::vector<size_t> readers;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    if (this->nodes[index].state.is_reader) {
      readers.push_back(index);
    }
  }
  return readers;
}

size_t FeedSimulation::CountReading() const {
  return static_cast<size_t>(std::count_if(
      this->nodes.begin(), this->nodes.end(),
      [](const SimulatedNode& node) { return node.state.reading; }));
}

void FeedSimulation::RunFor(absl::Duration time) {
  const absl::Time end = this->now + time;
  while (this->now < end) {
    this->Step();
  }
}

void FeedSimulation::Step() {
  this->now += kStep;
  while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
    auto entry = std::move(this->queue.begin()->second);
    this->queue.erase(this->queue.begin());
    if (!this->nodes[entry.first].frozen) {
      entry.second();
    }
  }
  const bool tick = this->now - this->last_tick >= kTick;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    SimulatedNode& node = this->nodes[index];
    if (node.frozen) {
      continue;
    }
    if (tick) {
      this->Tick(index);
    }
    if (node.follows_store && this->now >= node.next_call) {
      this->CallStore(node);
    }
  }
  if (tick) {
    this->last_tick = this->now;
  }
}

// A call ends at once with changes or a failure; otherwise it is a long poll
// that ends at its time-out.
void FeedSimulation::CallStore(SimulatedNode& node) {
  const size_t index = this->by_address.at(node.state.self.address);
  if (node.call_deadline == absl::InfinitePast()) {
    ++this->store_calls;
    node.call_is_lost = false;
    const bool is_first = node.failures > 0;
    node.call_deadline = this->now + (is_first ? kStep : kWatch.wait);
    node.response_deadline =
        node.call_deadline +
        (is_first ? kWatch.max_response_margin : kWatch.min_response_margin);
  }
  node.call_is_lost |= node.store_is_silent;
  if (node.call_is_lost && this->now < node.response_deadline) {
    return;
  }
  if (this->store.down || !node.reaches_store || node.call_is_lost) {
    node.call_deadline = absl::InfinitePast();
    node.next_call =
        this->now +
        std::min(absl::Milliseconds(500),
                 absl::Milliseconds(100) * (1u << std::min(node.failures, 4u)));
    ++node.failures;
    OnStoreReadFailed(node.state, this->now);
    return;
  }
  const bool has_changes = this->store.content.position > node.replica.position;
  if (!has_changes && this->now < node.call_deadline) {
    return;
  }
  if (node.failures > 0) {
    node.failures = 0;
    OnStoreRecovered(node.state, this->now);
  }
  OnStoreReadSucceeded(node.state, this->now);
  node.call_deadline = absl::InfinitePast();
  node.next_call =
      this->now + (has_changes ? kChangeBatchDelay : absl::ZeroDuration());
  this->Apply(index,
              node.replica.position.revision == 0
                  ? FullSnapshot(this->store.content)
                  : ChangesAfter(this->store.content, node.replica.position));
  this->NotifyIfDue(index);
}

void FeedSimulation::Apply(size_t index, ReplicaUpdate page) {
  const UpdateResult result =
      ApplyUpdate(this->nodes[index].replica, std::move(page));
  this->nodes[index].state.era = this->nodes[index].replica.position.era;
  if (!result.changes.empty()) {
    this->NotifySubscribers(index);
  }
}

void FeedSimulation::Schedule(size_t to, std::function<void()> action) {
  ++this->messages;
  this->queue.emplace(this->now + kLatency,
                      std::make_pair(to, std::move(action)));
}

schema::FeedStamp FeedSimulation::StampOf(const SimulatedNode& node) const {
  return MakeStamp(node.state, node.replica.position, node.replica.digest,
                   this->now);
}

void FeedSimulation::SendStamp(size_t from, size_t to) {
  SimulatedNode& sender = this->nodes[from];
  const schema::FeedStamp stamp = this->StampOf(sender);
  sender.sent_bytes +=
      schema::Encode(schema::Message(schema::FeedNotice{stamp, {}})).size() +
      kFrameOverhead;
  this->Schedule(to, [this, from, to, stamp] {
    SimulatedNode& receiver = this->nodes[to];
    if (OnStamp(receiver.state, this->AddressOf(from), stamp, this->now)) {
      this->nodes[from].subscribers.insert(to);
    }
    this->Fetch(to);
    this->NotifyIfDue(to);
  });
}

void FeedSimulation::NotifySubscribers(size_t index) {
  SimulatedNode& node = this->nodes[index];
  OnNoticeSent(node.state, this->now);
  for (const size_t listener : node.subscribers) {
    this->SendStamp(index, listener);
  }
  for (const std::string& address : StaleSources(node.state, this->now)) {
    this->SendStamp(index, this->by_address.at(address));
  }
}

void FeedSimulation::Fetch(size_t index) {
  SimulatedNode& node = this->nodes[index];
  const FetchRequest request = NextFetch(node.state, node.replica.position,
                                         node.replica.digest, this->now);
  if (request.address.empty()) {
    return;
  }
  const size_t source = this->by_address.at(request.address);
  const base::StorePosition after = node.replica.position;
  this->Schedule(
      source, [this, index, source, after, whole = request.is_snapshot] {
        SimulatedNode& sender = this->nodes[source];
        ReplicaUpdate page = whole ? FullSnapshot(sender.replica)
                                   : ChangesAfter(sender.replica, after);
        this->Schedule(index, [this, index, source, page,
                               stamp = this->StampOf(sender)] {
          SimulatedNode& receiver = this->nodes[index];
          OnStamp(receiver.state, this->AddressOf(source), stamp, this->now);
          OnFetchCompleted(receiver.state, this->AddressOf(source));
          this->Apply(index, page);
          this->Fetch(index);
        });
      });
}

void FeedSimulation::Tick(size_t index) {
  SimulatedNode& node = this->nodes[index];
  const FeedActions actions = Advance(node.state, this->random(), this->now);
  for (const std::string& address : actions.unsubscribe) {
    const size_t source = this->by_address.at(address);
    this->Schedule(source, [this, source, index] {
      this->nodes[source].subscribers.erase(index);
    });
  }
  for (const std::string& address : actions.subscribe) {
    const size_t source = this->by_address.at(address);
    this->Schedule(source, [this, source, index] {
      this->nodes[source].subscribers.insert(index);
      this->SendStamp(source, index);
    });
  }
  if (actions.start_reading) {
    node.follows_store = true;
    node.failures = 0;
    node.next_call = this->now;
    node.call_deadline = absl::InfinitePast();
  }
  if (actions.stop_reading) {
    node.follows_store = false;
  }
  this->Fetch(index);
  this->NotifyIfDue(index);
}

void FeedSimulation::NotifyIfDue(size_t index) {
  if (IsNoticeDue(this->nodes[index].state, this->now)) {
    this->NotifySubscribers(index);
  }
}

}  // namespace boragepaddle::feed
