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
  size_t sources = 2;
  /// Pace of notices without a change.
  absl::Duration beat = absl::Milliseconds(500);
  /// A source that says nothing for this long is replaced.
  absl::Duration silence = absl::Milliseconds(1100);
  /// Age up to which a copy counts as current: one wait at the store, and the
  /// margin of its answer.
  absl::Duration max_age = absl::Milliseconds(6500);
  /// Wait for a feed before the node reads by itself, and its random part.
  absl::Duration patience = absl::Milliseconds(250);
  absl::Duration jitter = absl::Milliseconds(200);
  /// A node that read by itself goes on for this long after its feeds are back.
  absl::Duration settle = absl::Milliseconds(500);
  /// A source that failed is not tried again for this long.
  absl::Duration avoid = absl::Seconds(3);
  /// A source that lost the store itself is replaced after this time.
  absl::Duration stale_patience = absl::Seconds(1);
  /// Attempts per second, over all nodes, to reach a store that the sources
  /// have lost.
  double fleet_tries_per_s = 5;
  /// A fetch that is not answered is sent to another source.
  absl::Duration fetch_time = absl::Milliseconds(300);
  /// Pause between two fetches of all items.
  absl::Duration whole_pause = absl::Seconds(1);
};

/// What is known of one source.
struct FeedSource {
  bool subscribed = false;
  absl::Time since = absl::InfinitePast();
  absl::Time heard = absl::InfinitePast();
  /// As of when its copy was the store's newest, and by whose read.
  absl::Time confirmed = absl::InfinitePast();
  std::string origin;
  /// It is not a candidate, but offered itself when no candidate was current.
  bool offered = false;
  /// When the store failed last, as far as it knows.
  absl::Time outage = absl::InfinitePast();
  /// Since when its copy is too old; infinite future while it is current.
  absl::Time stale_since = absl::InfiniteFuture();
  absl::Time avoid_until = absl::InfinitePast();
  uint64_t revision = 0;
  uint64_t digest = 0;
};

/// How one node keeps up with the store: by whom it is told, and when it reads
/// by itself.
struct FeedPlan {
  FeedSettings settings;
  Host self;
  size_t fleet = 0;
  bool reader = false;
  /// Addresses of all readers.
  absl::btree_set<std::string> readers;
  /// Best first.
  std::vector<std::string> candidates;
  absl::btree_map<std::string, FeedSource> sources;

  /// The node follows the store itself, and how that goes.
  bool reading = false;
  bool read_failing = false;
  absl::Time read_confirmed = absl::InfinitePast();
  absl::Time read_outage = absl::InfinitePast();

  /// Since when a source has a current copy.
  absl::Time fed_since = absl::InfiniteFuture();
  /// When to read without being a reader: while the sources answer without a
  /// current copy, and while none answers.
  absl::Time read_at = absl::InfiniteFuture();
  absl::Time silent_until = absl::InfinitePast();
  /// When a source without a current copy was left.
  absl::Time left_at = absl::InfinitePast();

  /// The fetch in progress; empty if there is none.
  std::string fetching_from;
  absl::Time fetch_sent = absl::InfinitePast();
  absl::Time whole_sent = absl::InfinitePast();
};

/// True if the node knows of no host that could tell it, not even itself.
bool IsAlone(const FeedPlan& plan);

/// Changes to fetch from a source; an empty address means none.
struct FetchOrder {
  std::string address;
  bool whole = false;
};

/// What is to be done now.
struct FeedActions {
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  bool start_reading = false;
  bool stop_reading = false;
};

/// The list of hosts changed.
void SetOrder(FeedPlan& plan, const ReaderOrder& order);

/// A host that is met while no list is known.
void AddCandidate(FeedPlan& plan, absl::string_view address);

/// Another node told of its copy. A node that is no source becomes one if its
/// copy is current and this node has none that is: the result is true then.
bool OnStamp(FeedPlan& plan,
             absl::string_view address,
             const schema::FeedStamp& stamp,
             absl::Time now);

/// What to fetch, as the node's own copy stands.
FetchOrder NextFetch(FeedPlan& plan,
                     uint64_t revision,
                     uint64_t digest,
                     absl::Time now);

/// The fetch was answered.
void OnFetched(FeedPlan& plan, absl::string_view address);

/// The connection to a source ended.
void OnSourceLost(FeedPlan& plan, absl::string_view address, absl::Time now);

/// The store answered, or did not.
void OnStoreAnswer(FeedPlan& plan, absl::Time now);
void OnStoreFailure(FeedPlan& plan, absl::Time now);
/// The store answers again after a failure.
void OnStoreReturn(FeedPlan& plan, absl::Time now);

/// The process did not run for a while, so nothing is known any more.
void OnFeedPause(FeedPlan& plan, absl::Time now);

/// `random` decides when a node without feeds reads by itself.
FeedActions Advance(FeedPlan& plan, uint64_t random, absl::Time now);

/// When the store failed last. A failure that only one of several reports saw
/// is that node's own.
absl::Time OutageSeen(const FeedPlan& plan, absl::Time now);

/// True if the copy is current.
bool IsCurrent(const FeedPlan& plan, absl::Time now);

/// Sources that would gain from being told: this node's copy is current, and
/// theirs is not.
std::vector<std::string> SourcesToTell(const FeedPlan& plan, absl::Time now);

/// Stamp for the nodes that this one tells.
schema::FeedStamp MakeStamp(const FeedPlan& plan,
                            uint64_t revision,
                            uint64_t digest,
                            absl::Time now);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_FEED_STATE_H_
