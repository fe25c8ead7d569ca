#ifndef BORAGEPADDLE_PROXY_STORE_REPLICATOR_H_
#define BORAGEPADDLE_PROXY_STORE_REPLICATOR_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/event/key_value_source.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/event/prefix_watcher.h"
#include "boragepaddle/feed/feed_state.h"
#include "boragepaddle/feed/replica.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/peer_network.h"
#include "boragepaddle/telemetry/event_log.h"

namespace boragepaddle::proxy {

/// Callbacks of a store replicator.
struct StoreReplicatorEvents {
  /// Changes of the copy, which is now in the given era of the store.
  std::function<void(const std::vector<schema::KeyValue>&, uint64_t era)>
      on_changes;
  /// Items in force at this node that the store lost when it came back from an
  /// older copy.
  std::function<std::vector<schema::KeyValue>()> lost_items;
  /// Another node has such items in force.
  std::function<void(const std::vector<schema::KeyValue>&)> on_lost_items;
  /// The store failed at the given time.
  std::function<void(absl::Time)> on_outage;
};

/// Maintains this node's copy of the store: reads the store if this node is to
/// do so, fetches changes from other nodes, and passes them on to subscribers.
class StoreReplicator {
 public:
  StoreReplicator(boost::asio::io_context& loop,
                  const NodeSettings& settings,
                  event::KeyValueSource& source,
                  PeerNetwork& peers,
                  telemetry::EventLog& log,
                  StoreReplicatorEvents events);

  void Start();
  void Tick(absl::Time now);
  void OnProcessPause(absl::Time now);
  void SetHosts(const catalog::WorkerDirectory& directory);

  /// Handles replication messages; false if the message is of another kind.
  bool OnMessage(const event::PeerChannelPtr& channel,
                 const schema::Message& message);
  /// Another node introduced itself on the channel.
  void OnHello(const event::PeerChannelPtr& channel);
  void OnChannelClosed(const event::PeerChannelPtr& channel);

  /// The copy has been current once, or no confirmation came in time.
  bool HasInitialState(absl::Time now) const;

  /// True if the copy is known to be up to date.
  bool IsCurrent(absl::Time now) const {
    return feed::IsCurrent(this->feed_state, now) &&
           !feed::IsBehindInEra(this->feed_state);
  }

  /// Time since the copy was last known to equal the store; infinite if it
  /// never was.
  absl::Duration CopyAge(absl::Time now) const;

  /// Position up to which this node knows the store.
  const base::StorePosition& position() const { return this->replica.position; }
  /// Time since which the copy has been in its era.
  absl::Duration EraAge(absl::Time now) const { return now - this->era_since; }
  /// Number of the store's answers to this node.
  uint64_t store_answers() const { return this->read_answers; }
  size_t subscribers() const { return this->subscriber_channels.size(); }
  const feed::FeedState& state() const { return this->feed_state; }

 private:
  struct Subscriber {
    event::PeerChannelPtr channel;
    absl::Time since;
  };

  event::PrefixWatcherEvents MakeWatchEvents();
  /// Reads the store once to learn the hosts.
  void DiscoverHosts(absl::Time now);
  void OnStoreUpdate(feed::ReplicaUpdate page);
  void OnUpdate(const event::PeerChannelPtr& channel,
                const schema::FeedUpdate& update);
  feed::UpdateError Apply(feed::ReplicaUpdate page, absl::string_view from);
  /// The copy has reached another era with an update from the store or a host.
  void OnEraChanged(const base::StorePosition& before, absl::string_view from);
  void ApplyActions(const feed::FeedActions& actions);
  void Subscribe(const std::string& address);
  void Unsubscribe(const std::string& address);
  void Fetch(absl::Time now);
  void ReportOutage(absl::Time now);
  /// Sends a notice to all subscribers and to sources with a stale copy.
  void NotifySubscribers(absl::Time now);
  /// Sends what the store has lost to subscribers that are new.
  void SendLostItems(absl::Time now);
  /// Same as NotifySubscribers, if the last notice no longer tells how current
  /// the copy is.
  void NotifyIfDue(absl::Time now);
  /// Logs if the copy became stale or current since the last notice.
  void LogCurrency(absl::Time now);
  schema::FeedStamp CurrentStamp(absl::Time now) const;

  const NodeSettings& settings;
  PeerNetwork& peers;
  telemetry::EventLog& log;
  StoreReplicatorEvents events;
  std::mt19937_64 random;
  feed::Replica replica;
  feed::FeedState feed_state;
  event::PrefixWatcher watch;
  absl::Time started_at;
  absl::Time discovery_read_at = absl::InfinitePast();
  bool ever_current = false;
  absl::Time reported_outage_at = absl::InfinitePast();
  absl::Time era_since;
  uint64_t read_answers = 0;
  /// Channels to the sources by address.
  absl::flat_hash_map<std::string, event::PeerChannelPtr> source_channels;
  /// Subscribers by channel number.
  absl::flat_hash_map<uint64_t, Subscriber> subscriber_channels;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_STORE_REPLICATOR_H_
