#include "boragepaddle/proxy/store_replicator.h"

#include <utility>
#include <variant>

#include "absl/container/btree_map.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;
using telemetry::LogLine;

/// Delay that batches changes: a fraction of the time within which calls to a
/// draining worker must end.
constexpr absl::Duration kChangeBatchDelay = absl::Milliseconds(250);

/// Interval of cheap reads while no host is listed, such as at the start of a
/// whole fleet. Longer than a response may take, so that reads are not cut off.
constexpr absl::Duration kDiscoveryInterval = absl::Milliseconds(500);

/// Time after which a node is ready with a list of hosts that no other read
/// confirmed.
constexpr absl::Duration kUnconfirmedReadyDelay = absl::Seconds(2);

/// A subscriber that has been one for longer knew the store before its return.
/// A process that started after the return may subscribe to nodes that have not
/// noticed it yet.
constexpr absl::Duration kNewSubscriberTime = absl::Seconds(3);

constexpr int64_t kMicrosecondsPerMillisecond = 1000;

/// Limit on subscribers; the distribution tree needs a fraction of it.
constexpr size_t kMaxSubscribers = 512;

event::PrefixWatcherSettings WatchSettings() {
  event::PrefixWatcherSettings settings;
  settings.coalesce_delay = kChangeBatchDelay;
  return settings;
}

}  // namespace

StoreReplicator::StoreReplicator(boost::asio::io_context& loop,
                                 const NodeSettings& settings,
                                 event::KeyValueSource& source,
                                 PeerNetwork& peers,
                                 telemetry::EventLog& log,
                                 StoreReplicatorEvents events)
    : settings(settings),
      peers(peers),
      log(log),
      events(std::move(events)),
      random(std::random_device()()),
      // One watch of the empty prefix covers all keys: the store charges each
      // call alike.
      watch(loop, source, "", WatchSettings(), this->MakeWatchEvents()),
      started_at(event::BootNow()),
      era_since(started_at) {
  this->feed_state.settings = feed::MakeFeedSettings(settings.change_deadline);
  this->feed_state.self = {settings.host, settings.availability_zone};
}

void StoreReplicator::Start() {
  this->DiscoverHosts(event::BootNow());
}

void StoreReplicator::DiscoverHosts(absl::Time now) {
  if (now - this->discovery_read_at >= kDiscoveryInterval) {
    this->discovery_read_at = now;
    // A cheap read replaces no copy whose era is known.
    this->watch.ReadOnce(this->replica.position.era == 0
                             ? event::ReadMode::kMaybeStale
                             : event::ReadMode::kNewest);
  }
}

event::PrefixWatcherEvents StoreReplicator::MakeWatchEvents() {
  event::PrefixWatcherEvents watch_events;
  watch_events.on_items = [this](feed::ReplicaUpdate page) {
    this->OnStoreUpdate(std::move(page));
  };
  watch_events.on_failure = [this](const event::SourceError& error) {
    const absl::Time now = event::BootNow();
    feed::OnStoreReadFailed(this->feed_state, now);
    this->ReportOutage(now);
    this->log.LogState(LogLine("store", "lost")
                           .Add("error", event::ToString(error.code))
                           .Add("status", error.status)
                           .Add("era", error.era)
                           .Add("known_era", this->replica.position.era));
  };
  watch_events.on_recovery = [this] {
    const absl::Time now = event::BootNow();
    feed::OnStoreRecovered(this->feed_state, now);
    this->ReportOutage(now);
    this->log.LogState(LogLine("store", "regained"));
  };
  return watch_events;
}

void StoreReplicator::OnStoreUpdate(feed::ReplicaUpdate page) {
  const absl::Time now = event::BootNow();
  ++this->read_answers;
  // After a return of the store, some of its addresses may still answer in the
  // era before.
  const bool is_older_era = page.to.era < this->replica.position.era;
  if (this->feed_state.reading && is_older_era) {
    feed::OnStoreReadFailed(this->feed_state, now);
  } else if (this->feed_state.reading) {
    feed::OnStoreReadSucceeded(this->feed_state, now);
  }
  this->Apply(std::move(page), "store");
  this->NotifyIfDue(now);
}

void StoreReplicator::OnEraChanged(const base::StorePosition& before,
                                   absl::string_view from) {
  const absl::Time now = event::BootNow();
  this->feed_state.era = this->replica.position.era;
  this->era_since = now;
  const bool is_return = before.era != 0;
  if (this->feed_state.reading && is_return) {
    // Saves a list of what another node has sent.
    this->watch.AdvanceTo(this->replica.position);
  }
  this->log.LogState(LogLine("feed", is_return ? "era_changed" : "era_known")
                         .Add("from", from)
                         .Add("era_before", before.era)
                         .Add("revision_before", before.revision)
                         .Add("era", this->replica.position.era)
                         .Add("revision", this->replica.position.revision));
}

feed::UpdateError StoreReplicator::Apply(feed::ReplicaUpdate page,
                                         absl::string_view from) {
  const absl::Time now = event::BootNow();
  const base::StorePosition before = this->replica.position;
  LogLine unused("feed", "page_unused");
  unused.Add("from", from)
      .Add("known_era", before.era)
      .Add("known_revision", before.revision)
      .Add("era", page.to.era)
      .Add("from_revision", page.from.revision)
      .Add("to_revision", page.to.revision)
      .Add("snapshot", page.is_snapshot)
      .Add("items", page.items.size());
  const feed::UpdateResult result =
      feed::ApplyUpdate(this->replica, std::move(page));
  if (result.error != feed::UpdateError::kNone) {
    this->log.LogState(
        unused.Add("gap", result.error == feed::UpdateError::kGap));
    return result.error;
  }
  const bool changes_era = before.era != this->replica.position.era;
  if (changes_era) {
    this->OnEraChanged(before, from);
  }
  if (!result.changes.empty()) {
    this->log.LogState(LogLine("feed", "applied")
                           .Add("from", from)
                           .Add("before", before.revision)
                           .Add("revision", this->replica.position.revision)
                           .Add("era", this->replica.position.era)
                           .Add("changes", result.changes.size()));
  }
  if (changes_era || !result.changes.empty()) {
    this->events.on_changes(result.changes, this->replica.position.era);
    this->NotifySubscribers(now);
    if (changes_era) {
      this->SendLostItems(now);
    }
  }
  return result.error;
}

void StoreReplicator::SetHosts(const catalog::WorkerDirectory& directory) {
  absl::btree_map<std::string, std::string> zones;
  for (const auto& [instance, entry] : directory.entries) {
    zones[entry.host] = entry.availability_zone;
  }
  std::vector<feed::Host> hosts;
  hosts.reserve(zones.size());
  for (const auto& [address, zone] : zones) {
    hosts.push_back({address, zone});
  }
  feed::SetDistributionTree(
      this->feed_state, feed::BuildDistributionTree(
                            this->feed_state.settings.tree, std::move(hosts)));
}

void StoreReplicator::Tick(absl::Time now) {
  if (feed::IsIsolated(this->feed_state) && !this->feed_state.reading) {
    this->DiscoverHosts(now);
    return;
  }
  this->ApplyActions(feed::Advance(this->feed_state, this->random(), now));
  this->Fetch(now);
  this->ReportOutage(now);
  this->ever_current |= feed::IsCurrent(this->feed_state, now);
  this->NotifyIfDue(now);
}

void StoreReplicator::NotifyIfDue(absl::Time now) {
  if (feed::IsNoticeDue(this->feed_state, now)) {
    this->NotifySubscribers(now);
  }
}

void StoreReplicator::LogCurrency(absl::Time now) {
  const bool current = feed::IsCurrent(this->feed_state, now);
  if (current == this->feed_state.notified_current) {
    return;
  }
  const schema::FeedStamp stamp = this->CurrentStamp(now);
  this->log.LogState(
      LogLine("feed", current ? "copy_current" : "copy_stale")
          .Add("age_ms", stamp.age_us / kMicrosecondsPerMillisecond)
          .Add("origin", stamp.origin)
          .Add("reads", this->feed_state.reading)
          .Add("revision", this->replica.position.revision));
}

void StoreReplicator::OnProcessPause(absl::Time now) {
  feed::OnProcessPause(this->feed_state, now);
  this->discovery_read_at = absl::InfinitePast();
  if (this->feed_state.reading) {
    this->watch.Restart();
  }
}

void StoreReplicator::ApplyActions(const feed::FeedActions& actions) {
  for (const std::string& address : actions.unsubscribe) {
    this->Unsubscribe(address);
  }
  for (const std::string& address : actions.subscribe) {
    this->Subscribe(address);
  }
  if (actions.start_reading) {
    if (this->ever_current) {
      this->watch.AdvanceTo(this->replica.position);
    }
    this->watch.Follow();
  }
  if (actions.stop_reading) {
    this->watch.Stop();
  }
  if (actions.start_reading || actions.stop_reading) {
    this->log.LogState(
        LogLine("feed", actions.start_reading ? "reads" : "reads_no_more")
            .Add("reader", this->feed_state.is_reader)
            .Add("sources", this->source_channels.size())
            .Add("revision", this->replica.position.revision));
  }
}

void StoreReplicator::Subscribe(const std::string& address) {
  const PeerChannelPtr channel =
      this->peers.ChannelTo(address, this->settings.peer_port);
  if (channel != nullptr && channel->Send(schema::FeedSubscribe{true})) {
    this->source_channels[address] = channel;
  }
  this->log.LogState(LogLine("feed", "source_added").Add("host", address));
}

void StoreReplicator::Unsubscribe(const std::string& address) {
  const auto found = this->source_channels.find(address);
  if (found != this->source_channels.end()) {
    found->second->Send(schema::FeedSubscribe{false});
    this->source_channels.erase(found);
  }
  this->log.LogState(LogLine("feed", "source_left").Add("host", address));
}

void StoreReplicator::Fetch(absl::Time now) {
  const feed::FetchRequest request = feed::NextFetch(
      this->feed_state, this->replica.position, this->replica.digest, now);
  const auto found = this->source_channels.find(request.address);
  if (found != this->source_channels.end()) {
    found->second->Send(schema::FeedFetch{this->replica.position.revision,
                                          request.is_snapshot,
                                          this->replica.position.era});
  }
}

void StoreReplicator::ReportOutage(absl::Time now) {
  const absl::Time outage_at = feed::LastOutage(this->feed_state, now);
  if (outage_at > this->reported_outage_at) {
    this->reported_outage_at = outage_at;
    this->events.on_outage(outage_at);
  }
}

schema::FeedStamp StoreReplicator::CurrentStamp(absl::Time now) const {
  return feed::MakeStamp(this->feed_state, this->replica.position,
                         this->replica.digest, now);
}

void StoreReplicator::NotifySubscribers(absl::Time now) {
  this->LogCurrency(now);
  feed::OnNoticeSent(this->feed_state, now);
  const schema::FeedNotice notice{this->CurrentStamp(now), {}};
  for (const auto& [number, subscriber] : this->subscriber_channels) {
    subscriber.channel->Send(notice);
  }
  for (const std::string& address : feed::StaleSources(this->feed_state, now)) {
    const auto found = this->source_channels.find(address);
    if (found != this->source_channels.end()) {
      found->second->Send(notice);
    }
  }
}

void StoreReplicator::SendLostItems(absl::Time now) {
  const schema::FeedNotice notice{this->CurrentStamp(now),
                                  this->events.lost_items()};
  if (notice.lost_items.empty()) {
    return;
  }
  for (const auto& [number, subscriber] : this->subscriber_channels) {
    if (now - subscriber.since < kNewSubscriberTime) {
      subscriber.channel->Send(notice);
    }
  }
}

bool StoreReplicator::OnMessage(const PeerChannelPtr& channel,
                                const schema::Message& message) {
  const absl::Time now = event::BootNow();
  if (const auto* subscribe = std::get_if<schema::FeedSubscribe>(&message)) {
    if (!subscribe->active) {
      this->subscriber_channels.erase(channel->number);
    } else if (this->subscriber_channels.size() < kMaxSubscribers) {
      this->subscriber_channels[channel->number] = {channel, now};
      channel->Send(schema::FeedNotice{this->CurrentStamp(now),
                                       this->events.lost_items()});
    }
    return true;
  }
  if (const auto* notice = std::get_if<schema::FeedNotice>(&message)) {
    if (feed::OnStamp(this->feed_state, channel->host, notice->stamp, now)) {
      this->Subscribe(channel->host);
    }
    if (!notice->lost_items.empty() &&
        this->source_channels.contains(channel->host)) {
      this->events.on_lost_items(notice->lost_items);
    }
    this->ReportOutage(now);
    this->Fetch(now);
    this->NotifyIfDue(now);
    return true;
  }
  if (const auto* fetch = std::get_if<schema::FeedFetch>(&message)) {
    // Nodes of earlier releases name no era. Nodes of this one ask for all
    // items if they know none.
    const base::StorePosition after{
        fetch->era == 0 ? this->replica.position.era : fetch->era,
        fetch->after_revision};
    feed::ReplicaUpdate page = fetch->whole
                                   ? feed::FullSnapshot(this->replica)
                                   : feed::ChangesAfter(this->replica, after);
    channel->Send(schema::FeedUpdate{this->CurrentStamp(now),
                                     page.from.revision, page.is_snapshot,
                                     std::move(page.items)});
    return true;
  }
  if (const auto* update = std::get_if<schema::FeedUpdate>(&message)) {
    this->OnUpdate(channel, *update);
    return true;
  }
  return false;
}

void StoreReplicator::OnUpdate(const PeerChannelPtr& channel,
                               const schema::FeedUpdate& update) {
  const absl::Time now = event::BootNow();
  const schema::FeedStamp& stamp = update.stamp;
  if (this->source_channels.contains(channel->host)) {
    feed::OnStamp(this->feed_state, channel->host, stamp, now);
  }
  feed::OnFetchCompleted(this->feed_state, channel->host);
  this->ReportOutage(now);
  feed::ReplicaUpdate page;
  page.from = {stamp.era, update.from_revision};
  page.to = {stamp.era, stamp.revision};
  page.is_snapshot = update.whole;
  page.items = update.items;
  this->Apply(std::move(page), channel->host);
  this->Fetch(now);
}

void StoreReplicator::OnHello(const PeerChannelPtr& channel) {
  feed::AddCandidate(this->feed_state, channel->host);
}

void StoreReplicator::OnChannelClosed(const PeerChannelPtr& channel) {
  this->subscriber_channels.erase(channel->number);
  for (auto at = this->source_channels.begin();
       at != this->source_channels.end(); ++at) {
    if (at->second == channel) {
      feed::OnSourceDisconnected(this->feed_state, at->first, event::BootNow());
      this->log.LogState(LogLine("feed", "source_lost").Add("host", at->first));
      this->source_channels.erase(at);
      return;
    }
  }
}

absl::Duration StoreReplicator::CopyAge(absl::Time now) const {
  const int64_t age_us = this->CurrentStamp(now).age_us;
  return age_us < 0 ? absl::InfiniteDuration() : absl::Microseconds(age_us);
}

bool StoreReplicator::HasInitialState(absl::Time now) const {
  return this->ever_current || now - this->started_at > kUnconfirmedReadyDelay;
}

}  // namespace boragepaddle::proxy
