#ifndef BORAGEPADDLE_FEED_FEED_STATE_H_
#define BORAGEPADDLE_FEED_FEED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/store_position.h"
#include "boragepaddle/feed/distribution_tree.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::feed {

/// Timing of the replication of the store. A change must reach every node
/// within the deadline of the deployment, also if all readers lose the store
/// right after they read it.
struct FeedSettings {
  TreeSettings tree;
  /// Number of sources of a node that does not read the store itself.
  size_t source_count = 2;
  /// Interval of notices while nothing changes.
  absl::Duration notice_interval = absl::Milliseconds(500);
  /// A source that sends nothing for this long is replaced.
  absl::Duration source_timeout = absl::Milliseconds(1100);
  /// Age of the last confirmation up to which a copy is current. Longer than
  /// the interval of the readers' answers, and shorter than the deadline of a
  /// change by the time in which another node reads and distributes it.
  absl::Duration max_age = absl::Milliseconds(1400);
  /// Subscribers are notified of a confirmation that is newer than the last one
  /// sent by this much.
  absl::Duration confirmation_step = absl::Milliseconds(250);
  /// When the copies of all sources become stale, about this many nodes of the
  /// fleet read the store at once, within `stale_read_spread`. One of them that
  /// reaches the store updates all others.
  size_t stale_readers = 60;
  absl::Duration stale_read_spread = absl::Milliseconds(200);
  /// Wait for a current source before the node reads the store itself, and the
  /// random addition to it.
  absl::Duration fallback_delay = absl::Milliseconds(250);
  absl::Duration fallback_jitter = absl::Milliseconds(200);
  /// A node that reads the store without being a reader continues for this long
  /// after a source is current again.
  absl::Duration fallback_hold_time = absl::Milliseconds(500);
  /// Time before a failed source is tried again.
  absl::Duration source_backoff = absl::Seconds(3);
  /// A source without a current copy is replaced after this time.
  absl::Duration stale_source_timeout = absl::Seconds(1);
  /// Attempts per second, over all nodes, to reach a store that the sources
  /// cannot reach.
  double fleet_read_attempts_per_s = 5;
  /// A fetch without a response is sent to another source after this time.
  absl::Duration fetch_timeout = absl::Milliseconds(300);
  /// Minimum time between two snapshot requests.
  absl::Duration min_snapshot_interval = absl::Seconds(1);
};

/// State of one source: a node that sends change notices to this one.
struct FeedSource {
  bool subscribed = false;
  absl::Time subscribed_at = absl::InfinitePast();
  absl::Time last_heard_at = absl::InfinitePast();
  /// Last time at which its copy was known to equal the store, and the node
  /// whose read of the store showed that.
  absl::Time confirmed_at = absl::InfinitePast();
  std::string origin;
  /// Not a candidate: it sent a notice while no candidate had a current copy.
  bool unsolicited = false;
  /// Time of the last failure of the store known to the source.
  absl::Time outage_at = absl::InfinitePast();
  /// Time since which its copy is too old; infinite future while it is current.
  absl::Time stale_since = absl::InfiniteFuture();
  absl::Time backoff_until = absl::InfinitePast();
  base::StorePosition position;
  uint64_t digest = 0;
};

/// Replication state of one node: its sources, and whether it reads the store
/// itself.
struct FeedState {
  FeedSettings settings;
  Host self;
  /// Era of the node's own copy. Copies of older eras confirm nothing.
  uint64_t era = 0;
  size_t fleet_size = 0;
  bool is_reader = false;
  /// Addresses of the nodes that read the store.
  absl::btree_set<std::string> readers;
  /// In order of preference.
  std::vector<std::string> candidates;
  absl::btree_map<std::string, FeedSource> sources;

  /// The node reads the store itself, and the state of these reads.
  bool reading = false;
  bool read_failing = false;
  absl::Time read_confirmed_at = absl::InfinitePast();
  absl::Time read_outage_at = absl::InfinitePast();

  /// Time since which at least one source has a current copy.
  absl::Time source_current_since = absl::InfiniteFuture();
  /// Time at which a node that is not a reader starts to read the store: while
  /// sources are alive without a current copy, and while no source is alive.
  absl::Time stale_fallback_at = absl::InfiniteFuture();
  absl::Time unreachable_fallback_at = absl::InfinitePast();
  /// The node has not yet decided whether it is among the `stale_readers`.
  bool stale_read_undecided = true;
  /// Last time at which a source was dropped for its stale copy.
  absl::Time stale_source_dropped_at = absl::InfinitePast();

  /// Source of the fetch in progress; empty if there is none.
  std::string fetching_from;
  absl::Time fetch_sent_at = absl::InfinitePast();
  absl::Time snapshot_requested_at = absl::InfinitePast();
  uint64_t snapshot_requested_era = 0;

  /// Content of the last notice to the subscribers.
  absl::Time notice_sent_at = absl::InfinitePast();
  absl::Time notified_confirmation_at = absl::InfinitePast();
  bool notified_current = false;
};

/// Settings for a deployment that allows `change_deadline` for a change.
FeedSettings MakeFeedSettings(absl::Duration change_deadline);

/// True if the node is not a reader and knows no candidate to replicate from.
bool IsIsolated(const FeedState& state);

/// Request for changes or a snapshot; an empty address means none.
struct FetchRequest {
  std::string address;
  bool is_snapshot = false;
};

/// Actions that the caller must carry out.
struct FeedActions {
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  bool start_reading = false;
  bool stop_reading = false;
};

/// Applies a new list of hosts.
void SetDistributionTree(FeedState& state, const DistributionTree& tree);

/// Adds a host that connected while no list of hosts is known.
void AddCandidate(FeedState& state, absl::string_view address);

/// Handles the stamp of another node's copy. If this node has no current copy
/// and the sender has one, the sender becomes a source; returns true in this
/// case.
bool OnStamp(FeedState& state,
             absl::string_view address,
             const schema::FeedStamp& stamp,
             absl::Time now);

/// Returns the next fetch, given the position and the digest of the node's own
/// copy.
FetchRequest NextFetch(FeedState& state,
                       const base::StorePosition& position,
                       uint64_t digest,
                       absl::Time now);

/// The response to a fetch arrived.
void OnFetchCompleted(FeedState& state, absl::string_view address);

/// The connection to a source was closed.
void OnSourceDisconnected(FeedState& state,
                          absl::string_view address,
                          absl::Time now);

/// A read of the store succeeded or failed.
void OnStoreReadSucceeded(FeedState& state, absl::Time now);
void OnStoreReadFailed(FeedState& state, absl::Time now);
/// The store is reachable again after a failure.
void OnStoreRecovered(FeedState& state, absl::Time now);

/// The process was paused, so all that is known of the sources is outdated.
void OnProcessPause(FeedState& state, absl::Time now);

/// Advances the state machine. `random` spreads the times at which nodes
/// without a current source read the store.
FeedActions Advance(FeedState& state, uint64_t random, absl::Time now);

/// Time of the last failure of the store. A failure that only one of several
/// nodes reports is taken for a local fault of that node and ignored.
absl::Time LastOutage(const FeedState& state, absl::Time now);

/// True if a source has a copy of a newer era than this node.
bool IsBehindInEra(const FeedState& state);

/// True if the copy of this node is current.
bool IsCurrent(const FeedState& state, absl::Time now);

/// Sources whose copy is stale while this node's copy is current; they are sent
/// notices as well.
std::vector<std::string> StaleSources(const FeedState& state, absl::Time now);

/// True if the subscribers must be notified although no item changed.
bool IsNoticeDue(const FeedState& state, absl::Time now);
void OnNoticeSent(FeedState& state, absl::Time now);

/// Makes the stamp that is sent to the subscribers.
schema::FeedStamp MakeStamp(const FeedState& state,
                            const base::StorePosition& position,
                            uint64_t digest,
                            absl::Time now);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_FEED_STATE_H_
