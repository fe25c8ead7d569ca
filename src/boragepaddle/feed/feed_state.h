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
#include "boragepaddle/feed/distribution_tree.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::feed {

/// Times of the feeds. A change must reach every node within 2 s, the shortest
/// time that deployments set for leaving workers and for configurations, also
/// while some of the nodes that pass it on are lost.
struct FeedSettings {
  TreeSettings tree;
  /// Sources of a node that does not read the store.
  size_t source_count = 2;
  /// Pace of notices without a change.
  absl::Duration notice_interval = absl::Milliseconds(500);
  /// A source that says nothing for this long is replaced.
  absl::Duration source_timeout = absl::Milliseconds(1100);
  /// Age up to which a copy counts as current: one wait at the store, and the
  /// margin of its answer.
  absl::Duration max_age = absl::Milliseconds(6500);
  /// Wait for a feed before the node reads by itself, and its random part.
  absl::Duration fallback_delay = absl::Milliseconds(250);
  absl::Duration fallback_jitter = absl::Milliseconds(200);
  /// A node that read by itself goes on for this long after its feeds are back.
  absl::Duration fallback_hold_time = absl::Milliseconds(500);
  /// A source that failed is not tried again for this long.
  absl::Duration source_backoff = absl::Seconds(3);
  /// A source that lost the store itself is replaced after this time.
  absl::Duration stale_source_timeout = absl::Seconds(1);
  /// Attempts per second, over all nodes, to reach a store that the sources
  /// have lost.
  double fleet_read_attempts_per_s = 5;
  /// A fetch that is not answered is sent to another source.
  absl::Duration fetch_timeout = absl::Milliseconds(300);
  /// Pause between two fetches of all items.
  absl::Duration min_snapshot_interval = absl::Seconds(1);
};

/// What is known of one source.
struct FeedSource {
  bool subscribed = false;
  absl::Time subscribed_at = absl::InfinitePast();
  absl::Time last_heard_at = absl::InfinitePast();
  /// As of when its copy was the store's newest, and by whose read.
  absl::Time confirmed_at = absl::InfinitePast();
  std::string origin;
  /// It is not a candidate, but unsolicited itself when no candidate was
  /// current.
  bool unsolicited = false;
  /// When the store failed last, as far as it knows.
  absl::Time outage_at = absl::InfinitePast();
  /// Since when its copy is too old; infinite future while it is current.
  absl::Time stale_since = absl::InfiniteFuture();
  absl::Time backoff_until = absl::InfinitePast();
  uint64_t revision = 0;
  uint64_t digest = 0;
};

/// How one node keeps up with the store: by whom it is told, and when it reads
/// by itself.
struct FeedState {
  FeedSettings settings;
  Host self;
  size_t fleet_size = 0;
  bool is_reader = false;
  /// Addresses of all readers.
  absl::btree_set<std::string> readers;
  /// Best first.
  std::vector<std::string> candidates;
  absl::btree_map<std::string, FeedSource> sources;

  /// The node follows the store itself, and how that goes.
  bool reading = false;
  bool read_failing = false;
  absl::Time read_confirmed_at = absl::InfinitePast();
  absl::Time read_outage_at = absl::InfinitePast();

  /// Since when a source has a current copy.
  absl::Time source_current_since = absl::InfiniteFuture();
  /// When to read without being a is_reader: while the sources answer without a
  /// current copy, and while none answers.
  absl::Time stale_fallback_at = absl::InfiniteFuture();
  absl::Time unreachable_fallback_at = absl::InfinitePast();
  /// When a source without a current copy was left.
  absl::Time stale_source_dropped_at = absl::InfinitePast();

  /// The fetch in progress; empty if there is none.
  std::string fetching_from;
  absl::Time fetch_sent_at = absl::InfinitePast();
  absl::Time snapshot_requested_at = absl::InfinitePast();
};

/// True if the node knows of no host that could tell it, not even itself.
bool IsIsolated(const FeedState& state);

/// Changes to fetch from a source; an empty address means none.
struct FetchRequest {
  std::string address;
  bool is_snapshot = false;
};

/// What is to be done now.
struct FeedActions {
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  bool start_reading = false;
  bool stop_reading = false;
};

/// The list of hosts changed.
void SetDistributionTree(FeedState& state, const DistributionTree& order);

/// A host that is met while no list is known.
void AddCandidate(FeedState& state, absl::string_view address);

/// Another node told of its copy. A node that is no source becomes one if its
/// copy is current and this node has none that is: the result is true then.
bool OnStamp(FeedState& state,
             absl::string_view address,
             const schema::FeedStamp& stamp,
             absl::Time now);

/// What to fetch, as the node's own copy stands.
FetchRequest NextFetch(FeedState& state,
                       uint64_t revision,
                       uint64_t digest,
                       absl::Time now);

/// The fetch was answered.
void OnFetchCompleted(FeedState& state, absl::string_view address);

/// The connection to a source ended.
void OnSourceDisconnected(FeedState& state,
                          absl::string_view address,
                          absl::Time now);

/// The store answered, or did not.
void OnStoreReadSucceeded(FeedState& state, absl::Time now);
void OnStoreReadFailed(FeedState& state, absl::Time now);
/// The store answers again after a failure.
void OnStoreRecovered(FeedState& state, absl::Time now);

/// The process did not run for a while, so nothing is known any more.
void OnProcessPause(FeedState& state, absl::Time now);

/// `random` decides when a node without feeds reads by itself.
FeedActions Advance(FeedState& state, uint64_t random, absl::Time now);

/// When the store failed last. A failure that only one of several reports saw
/// is that node's own.
absl::Time LastOutage(const FeedState& state, absl::Time now);

/// True if the copy is current.
bool IsCurrent(const FeedState& state, absl::Time now);

/// Sources that would gain from being told: this node's copy is current, and
/// theirs is not.
std::vector<std::string> StaleSources(const FeedState& state, absl::Time now);

/// Stamp for the nodes that this one tells.
schema::FeedStamp MakeStamp(const FeedState& state,
                            uint64_t revision,
                            uint64_t digest,
                            absl::Time now);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_FEED_STATE_H_
