#ifndef BORAGEPADDLE_FEED_SOURCE_SELECTION_H_
#define BORAGEPADDLE_FEED_SOURCE_SELECTION_H_

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/feed/feed_state.h"

namespace boragepaddle::feed {

/// As of when the node's copy was the store's newest, and by whose read.
struct Confirmation {
  absl::Time at = absl::InfinitePast();
  absl::string_view origin;
};

/// The source said something of late.
bool IsAlive(const FeedState& state, const FeedSource& source, absl::Time now);

/// The source is alive, and its copy is current by another node's read.
bool HasCurrentCopy(const FeedState& state,
                    const FeedSource& source,
                    absl::Time now);

/// Some source has a current copy.
bool HasCurrentSource(const FeedState& state, absl::Time now);

/// Some source is alive.
bool HasLiveSource(const FeedState& state, absl::Time now);

/// Best of the own read and what the sources tell.
Confirmation BestConfirmation(const FeedState& state, absl::Time now);

/// Forgets what a source told; it is no source any more.
void ResetSource(FeedSource& source);

/// Leaves sources that are silent, not listed, or without a current copy.
void DropSources(FeedState& state, FeedActions& actions, absl::Time now);

/// Takes candidates as sources up to the number that is wanted.
void AddSources(FeedState& state, FeedActions& actions, absl::Time now);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_SOURCE_SELECTION_H_
