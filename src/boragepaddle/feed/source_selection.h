#ifndef BORAGEPADDLE_FEED_SOURCE_SELECTION_H_
#define BORAGEPADDLE_FEED_SOURCE_SELECTION_H_

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/feed/feed_state.h"

namespace boragepaddle::feed {

/// Last time at which the node's copy was known to equal the store, and the
/// node whose read of the store showed that.
struct Confirmation {
  absl::Time at = absl::InfinitePast();
  absl::string_view origin;
};

/// True if the source sent something within the source time-out.
bool IsAlive(const FeedState& state, const FeedSource& source, absl::Time now);

/// True if the source is alive and its copy is confirmed as current by the read
/// of a node that this one may rely on.
bool HasCurrentCopy(const FeedState& state,
                    const FeedSource& source,
                    absl::Time now);

bool HasCurrentSource(const FeedState& state, absl::Time now);

bool HasLiveSource(const FeedState& state, absl::Time now);

/// Most reliable confirmation among the node's own read and the stamps of its
/// sources.
Confirmation BestConfirmation(const FeedState& state, absl::Time now);

/// Clears the state of a source that is dropped.
void ResetSource(FeedSource& source);

/// Drops sources that timed out, are not listed or have a stale copy.
void DropSources(FeedState& state, FeedActions& actions, absl::Time now);

/// Subscribes to candidates up to the target number of sources.
void AddSources(FeedState& state, FeedActions& actions, absl::Time now);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_SOURCE_SELECTION_H_
