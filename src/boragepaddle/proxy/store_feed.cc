#include "boragepaddle/proxy/store_feed.h"

#include <utility>
#include <variant>

#include "absl/container/btree_map.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;
using telemetry::LogLine;

/// Pause in which changes gather: a fraction of the time within which a
/// leaving worker must get no more calls.
constexpr absl::Duration kGather = absl::Milliseconds(250);

/// Pace of cheap reads while no host is listed, as when a whole fleet starts.
/// Longer than an answer may take, so that it is not cut off.
constexpr absl::Duration kLookInterval = absl::Milliseconds(500);

/// Time after which a node whose first list nobody confirms counts as ready.
constexpr absl::Duration kUnconfirmedTime = absl::Seconds(2);

/// Nodes that one node tells. The tree needs a fraction of it.
constexpr size_t kMaxListeners = 512;

event::PrefixWatcherSettings WatchSettings() {
  event::PrefixWatcherSettings settings;
  settings.coalesce_delay = kGather;
  return settings;
}

}  // namespace

StoreFeed::StoreFeed(boost::asio::io_context& loop,
                     const NodeSettings& settings,
                     event::KeyValueSource& source,
                     PeerNetwork& peers,
                     telemetry::EventLog& log,
                     StoreFeedEvents events)
    : settings(settings),
      peers(peers),
      log(log),
      events(std::move(events)),
      random(std::random_device()()),
      // One read serves all keys: each call costs the store the same.
      watch(loop, source, "", WatchSettings(), this->MakeWatchEvents()),
      started(event::BootNow()) {
  this->plan.self = {settings.host, settings.availability_zone};
}

void StoreFeed::Start() {
  this->LookForHosts(event::BootNow());
}

void StoreFeed::LookForHosts(absl::Time now) {
  if (now - this->looked_at >= kLookInterval) {
    this->looked_at = now;
    this->watch.ReadOnce();
  }
}

event::PrefixWatcherEvents StoreFeed::MakeWatchEvents() {
  event::PrefixWatcherEvents watch_events;
  watch_events.on_items = [this](feed::ReplicaPage page) {
    this->OnStorePage(std::move(page));
  };
  watch_events.on_failure = [this](const event::SourceError& error) {
    const absl::Time now = event::BootNow();
    feed::OnStoreFailure(this->plan, now);
    this->TellOutage(now);
    this->log.LogState(LogLine("store", "lost")
                           .Add("error", event::ToString(error.code))
                           .Add("status", error.status));
  };
  watch_events.on_recovery = [this] {
    const absl::Time now = event::BootNow();
    feed::OnStoreReturn(this->plan, now);
    this->TellOutage(now);
    this->log.LogState(LogLine("store", "regained"));
  };
  return watch_events;
}

void StoreFeed::OnStorePage(feed::ReplicaPage page) {
  const absl::Time now = event::BootNow();
  if (this->plan.reading) {
    feed::OnStoreAnswer(this->plan, now);
  }
  this->Apply(std::move(page), "store");
}

feed::PageFault StoreFeed::Apply(feed::ReplicaPage page,
                                 absl::string_view from) {
  const absl::Time now = event::BootNow();
  const uint64_t before = this->replica.revision;
  const feed::PageResult result =
      feed::ApplyPage(this->replica, std::move(page));
  if (result.fault != feed::PageFault::kNone) {
    this->log.LogState(LogLine("feed", "page_unused")
                           .Add("from", from)
                           .Add("revision", before)
                           .Add("gap", result.fault == feed::PageFault::kGap));
    return result.fault;
  }
  if (!result.changes.empty()) {
    this->log.LogState(LogLine("feed", "applied")
                           .Add("from", from)
                           .Add("before", before)
                           .Add("revision", this->replica.revision)
                           .Add("changes", result.changes.size()));
    this->events.on_changes(result.changes);
    this->TellAll(now);
  }
  return result.fault;
}

void StoreFeed::SetHosts(const catalog::WorkerDirectory& directory) {
  absl::btree_map<std::string, std::string> zones;
  for (const auto& [instance, entry] : directory.entries) {
    zones[entry.host] = entry.availability_zone;
  }
  std::vector<feed::Host> hosts;
  hosts.reserve(zones.size());
  for (const auto& [address, zone] : zones) {
    hosts.push_back({address, zone});
  }
  feed::SetOrder(this->plan,
                 feed::OrderHosts(this->plan.settings.tree, std::move(hosts)));
}

void StoreFeed::Tick(absl::Time now) {
  if (feed::IsAlone(this->plan) && !this->plan.reading) {
    this->LookForHosts(now);
    return;
  }
  this->Perform(feed::Advance(this->plan, this->random(), now));
  this->Fetch(now);
  this->TellOutage(now);
  const bool current = feed::IsCurrent(this->plan, now);
  this->ever_current |= current;
  if (current != this->was_current ||
      now - this->told_at >= this->plan.settings.beat) {
    this->was_current = current;
    this->TellAll(now);
  }
}

void StoreFeed::OnPause(absl::Time now) {
  feed::OnFeedPause(this->plan, now);
  this->looked_at = absl::InfinitePast();
  if (this->plan.reading) {
    this->watch.Restart();
  }
}

void StoreFeed::Perform(const feed::FeedActions& actions) {
  for (const std::string& address : actions.unsubscribe) {
    this->Unsubscribe(address);
  }
  for (const std::string& address : actions.subscribe) {
    this->Subscribe(address);
  }
  if (actions.start_reading) {
    if (this->ever_current) {
      this->watch.AdvanceTo(this->replica.revision);
    }
    this->watch.Follow();
  }
  if (actions.stop_reading) {
    this->watch.Stop();
  }
  if (actions.start_reading || actions.stop_reading) {
    this->log.LogState(
        LogLine("feed", actions.start_reading ? "reads" : "reads_no_more")
            .Add("reader", this->plan.reader)
            .Add("sources", this->sources.size())
            .Add("revision", this->replica.revision));
  }
}

void StoreFeed::Subscribe(const std::string& address) {
  const PeerChannelPtr channel =
      this->peers.ChannelTo(address, this->settings.peer_port);
  if (channel != nullptr && channel->Send(schema::FeedSubscribe{true})) {
    this->sources[address] = channel;
  }
  this->log.LogState(LogLine("feed", "source_added").Add("host", address));
}

void StoreFeed::Unsubscribe(const std::string& address) {
  const auto found = this->sources.find(address);
  if (found != this->sources.end()) {
    found->second->Send(schema::FeedSubscribe{false});
    this->sources.erase(found);
  }
  this->log.LogState(LogLine("feed", "source_left").Add("host", address));
}

void StoreFeed::Fetch(absl::Time now) {
  const feed::FetchOrder order = feed::NextFetch(
      this->plan, this->replica.revision, this->replica.digest, now);
  const auto found = this->sources.find(order.address);
  if (found != this->sources.end()) {
    found->second->Send(schema::FeedFetch{this->replica.revision, order.whole});
  }
}

void StoreFeed::TellOutage(absl::Time now) {
  const absl::Time seen = feed::OutageSeen(this->plan, now);
  if (seen > this->outage_told) {
    this->outage_told = seen;
    this->events.on_outage(seen);
  }
}

schema::FeedStamp StoreFeed::Stamp(absl::Time now) const {
  return feed::MakeStamp(this->plan, this->replica.revision,
                         this->replica.digest, now);
}

void StoreFeed::TellAll(absl::Time now) {
  this->told_at = now;
  const schema::FeedNotice notice{this->Stamp(now)};
  for (const auto& [number, channel] : this->listeners) {
    channel->Send(notice);
  }
  for (const std::string& address : feed::SourcesToTell(this->plan, now)) {
    const auto found = this->sources.find(address);
    if (found != this->sources.end()) {
      found->second->Send(notice);
    }
  }
}

bool StoreFeed::OnMessage(const PeerChannelPtr& channel,
                          const schema::Message& message) {
  const absl::Time now = event::BootNow();
  if (const auto* ask = std::get_if<schema::FeedSubscribe>(&message)) {
    if (!ask->active) {
      this->listeners.erase(channel->number);
    } else if (this->listeners.size() < kMaxListeners) {
      this->listeners[channel->number] = channel;
      channel->Send(schema::FeedNotice{this->Stamp(now)});
    }
    return true;
  }
  if (const auto* notice = std::get_if<schema::FeedNotice>(&message)) {
    if (feed::OnStamp(this->plan, channel->host, notice->stamp, now)) {
      this->Subscribe(channel->host);
    }
    this->TellOutage(now);
    this->Fetch(now);
    return true;
  }
  if (const auto* fetch = std::get_if<schema::FeedFetch>(&message)) {
    feed::ReplicaPage page =
        fetch->whole ? feed::WholePage(this->replica)
                     : feed::PageAfter(this->replica, fetch->after_revision);
    channel->Send(schema::FeedUpdate{this->Stamp(now), page.from, page.whole,
                                     std::move(page.items)});
    return true;
  }
  if (const auto* update = std::get_if<schema::FeedUpdate>(&message)) {
    this->OnUpdate(channel, *update);
    return true;
  }
  return false;
}

void StoreFeed::OnUpdate(const PeerChannelPtr& channel,
                         const schema::FeedUpdate& update) {
  const absl::Time now = event::BootNow();
  if (this->sources.contains(channel->host)) {
    feed::OnStamp(this->plan, channel->host, update.stamp, now);
  }
  feed::OnFetched(this->plan, channel->host);
  this->TellOutage(now);
  feed::ReplicaPage page;
  page.from = update.from_revision;
  page.to = update.stamp.revision;
  page.whole = update.whole;
  page.items = update.items;
  this->Apply(std::move(page), channel->host);
  this->Fetch(now);
}

void StoreFeed::OnHello(const PeerChannelPtr& channel) {
  feed::AddCandidate(this->plan, channel->host);
}

void StoreFeed::OnChannelClosed(const PeerChannelPtr& channel) {
  this->listeners.erase(channel->number);
  for (auto at = this->sources.begin(); at != this->sources.end(); ++at) {
    if (at->second == channel) {
      feed::OnSourceLost(this->plan, at->first, event::BootNow());
      this->log.LogState(LogLine("feed", "source_lost").Add("host", at->first));
      this->sources.erase(at);
      return;
    }
  }
}

bool StoreFeed::IsSettled(absl::Time now) const {
  return this->ever_current || now - this->started > kUnconfirmedTime;
}

}  // namespace boragepaddle::proxy
