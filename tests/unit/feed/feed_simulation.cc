#include "tests/unit/feed/feed_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::feed {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kLatency = absl::Milliseconds(2);
constexpr absl::Duration kWait = absl::Seconds(5);
constexpr absl::Duration kGather = absl::Milliseconds(250);

/// TCP and IP headers, and the frame's own length.
constexpr uint64_t kFrameOverhead = 56;

}  // namespace

FeedFleet::FeedFleet(size_t count, size_t zones, uint64_t seed)
    : now(absl::UnixEpoch() + absl::Seconds(1000)),
      random(seed),
      last_tick(now) {
  std::vector<Host> hosts;
  for (size_t index = 0; index < count; ++index) {
    hosts.push_back({absl::StrCat("10.0.", index / 250, ".", index % 250),
                     absl::StrCat("z", index % zones)});
    this->by_address[hosts.back().address] = index;
  }
  const DistributionTree order = BuildDistributionTree(TreeSettings(), hosts);
  for (const Host& host : hosts) {
    NodeModel node;
    node.state.self = host;
    SetDistributionTree(node.state, order);
    this->nodes.push_back(std::move(node));
  }
}

const std::string& FeedFleet::AddressOf(size_t index) const {
  return this->nodes[index].state.self.address;
}

void FeedFleet::Put(const std::string& key) {
  const uint64_t revision = this->store.content.revision + 1;
  ApplyUpdate(this->store.content,
              {revision - 1,
               revision,
               false,
               {{key, absl::StrCat("v", revision), revision, false}}});
}

void FeedFleet::Remove(const std::string& key) {
  const uint64_t revision = this->store.content.revision + 1;
  ApplyUpdate(this->store.content,
              {revision - 1, revision, false, {{key, "", revision, true}}});
}

size_t FeedFleet::Outdated() const {
  return static_cast<size_t>(std::count_if(
      this->nodes.begin(), this->nodes.end(), [&](const NodeModel& node) {
        return !node.frozen &&
               node.replica.digest != this->store.content.digest;
      }));
}

absl::Duration FeedFleet::TimeToAgree(absl::Duration bound) {
  const absl::Time start = this->now;
  while (this->Outdated() > 0) {
    if (this->now - start > bound) {
      return absl::InfiniteDuration();
    }
    this->Step();
  }
  return this->now - start;
}

std::vector<size_t> FeedFleet::Readers() const {
  std::vector<size_t> readers;
  for (size_t index = 0; index < this->nodes.size(); ++index) {
    if (this->nodes[index].state.is_reader) {
      readers.push_back(index);
    }
  }
  return readers;
}

size_t FeedFleet::Reading() const {
  return static_cast<size_t>(
      std::count_if(this->nodes.begin(), this->nodes.end(),
                    [](const NodeModel& node) { return node.state.reading; }));
}

void FeedFleet::RunFor(absl::Duration time) {
  const absl::Time end = this->now + time;
  while (this->now < end) {
    this->Step();
  }
}

void FeedFleet::Step() {
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
    NodeModel& node = this->nodes[index];
    if (node.frozen) {
      continue;
    }
    if (tick) {
      this->Tick(index);
    }
    if (node.follows && this->now >= node.next_call) {
      this->CallStore(node);
    }
  }
  if (tick) {
    this->last_tick = this->now;
  }
}

// One call ends at once with changes or a failure, or stays open for the wait.
void FeedFleet::CallStore(NodeModel& node) {
  const size_t index = this->by_address.at(node.state.self.address);
  if (node.call_until == absl::InfinitePast()) {
    ++this->store_calls;
    node.call_until = this->now + (node.failures > 0 ? kStep : kWait);
  }
  if (this->store.down || !node.reaches_store) {
    node.call_until = absl::InfinitePast();
    node.next_call =
        this->now +
        std::min(absl::Milliseconds(500),
                 absl::Milliseconds(100) * (1u << std::min(node.failures, 4u)));
    ++node.failures;
    OnStoreReadFailed(node.state, this->now);
    return;
  }
  const bool is_news = this->store.content.revision > node.replica.revision;
  if (!is_news && this->now < node.call_until) {
    return;
  }
  if (node.failures > 0) {
    node.failures = 0;
    OnStoreRecovered(node.state, this->now);
  }
  OnStoreReadSucceeded(node.state, this->now);
  node.call_until = absl::InfinitePast();
  node.next_call = this->now + (is_news ? kGather : absl::ZeroDuration());
  this->Apply(index,
              node.replica.revision == 0
                  ? FullSnapshot(this->store.content)
                  : ChangesAfter(this->store.content, node.replica.revision));
}

void FeedFleet::Apply(size_t index, ReplicaUpdate page) {
  const UpdateResult result =
      ApplyUpdate(this->nodes[index].replica, std::move(page));
  if (!result.changes.empty()) {
    this->TellAll(index);
  }
}

void FeedFleet::Deliver(size_t to, std::function<void()> action) {
  ++this->messages;
  this->queue.emplace(this->now + kLatency,
                      std::make_pair(to, std::move(action)));
}

schema::FeedStamp FeedFleet::StampOf(const NodeModel& node) const {
  return MakeStamp(node.state, node.replica.revision, node.replica.digest,
                   this->now);
}

void FeedFleet::SendStamp(size_t from, size_t to) {
  NodeModel& sender = this->nodes[from];
  const schema::FeedStamp stamp = this->StampOf(sender);
  sender.sent_bytes +=
      schema::Encode(schema::Message(schema::FeedNotice{stamp})).size() +
      kFrameOverhead;
  this->Deliver(to, [this, from, to, stamp] {
    NodeModel& receiver = this->nodes[to];
    if (OnStamp(receiver.state, this->AddressOf(from), stamp, this->now)) {
      this->nodes[from].listeners.insert(to);
    }
    this->Fetch(to);
  });
}

void FeedFleet::TellAll(size_t index) {
  NodeModel& node = this->nodes[index];
  node.told_at = this->now;
  for (const size_t listener : node.listeners) {
    this->SendStamp(index, listener);
  }
  for (const std::string& address : StaleSources(node.state, this->now)) {
    this->SendStamp(index, this->by_address.at(address));
  }
}

void FeedFleet::Fetch(size_t index) {
  NodeModel& node = this->nodes[index];
  const FetchRequest order = NextFetch(node.state, node.replica.revision,
                                       node.replica.digest, this->now);
  if (order.address.empty()) {
    return;
  }
  const size_t source = this->by_address.at(order.address);
  const uint64_t after = node.replica.revision;
  this->Deliver(
      source, [this, index, source, after, whole = order.is_snapshot] {
        NodeModel& sender = this->nodes[source];
        ReplicaUpdate page = whole ? FullSnapshot(sender.replica)
                                   : ChangesAfter(sender.replica, after);
        this->Deliver(index, [this, index, source, page,
                              stamp = this->StampOf(sender)] {
          NodeModel& receiver = this->nodes[index];
          OnStamp(receiver.state, this->AddressOf(source), stamp, this->now);
          OnFetchCompleted(receiver.state, this->AddressOf(source));
          this->Apply(index, page);
          this->Fetch(index);
        });
      });
}

void FeedFleet::Tick(size_t index) {
  NodeModel& node = this->nodes[index];
  const FeedActions actions = Advance(node.state, this->random(), this->now);
  for (const std::string& address : actions.unsubscribe) {
    const size_t source = this->by_address.at(address);
    this->Deliver(source, [this, source, index] {
      this->nodes[source].listeners.erase(index);
    });
  }
  for (const std::string& address : actions.subscribe) {
    const size_t source = this->by_address.at(address);
    this->Deliver(source, [this, source, index] {
      this->nodes[source].listeners.insert(index);
      this->SendStamp(source, index);
    });
  }
  if (actions.start_reading) {
    node.follows = true;
    node.failures = 0;
    node.next_call = this->now;
    node.call_until = absl::InfinitePast();
  }
  if (actions.stop_reading) {
    node.follows = false;
  }
  this->Fetch(index);
  const bool current = IsCurrent(node.state, this->now);
  if (current != node.was_current ||
      this->now - node.told_at >= node.state.settings.notice_interval) {
    node.was_current = current;
    this->TellAll(index);
  }
}

}  // namespace boragepaddle::feed
