#include "boragepaddle/feed/source_selection.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "absl/algorithm/container.h"

namespace boragepaddle::feed {

namespace {

/// True if `a` is preferred. Of two current confirmations, the read of a reader
/// precedes that of another node, the newer read of a reader an older one, and
/// between other nodes the smaller address decides, so that all nodes agree.
bool IsPreferred(const FeedState& state,
                 const Confirmation& a,
                 const Confirmation& b,
                 absl::Time now) {
  const bool a_current = now - a.at <= state.settings.max_age;
  const bool b_current = now - b.at <= state.settings.max_age;
  if (!a_current || !b_current) {
    return a.at > b.at;
  }
  const bool a_reader = state.readers.contains(a.origin);
  const bool b_reader = state.readers.contains(b.origin);
  if (a_reader && b_reader) {
    return a.at > b.at;
  }
  return a_reader != b_reader ? a_reader : a.origin < b.origin;
}

size_t TargetSourceCount(const FeedState& state) {
  return state.is_reader ? state.candidates.size()
                         : state.settings.source_count;
}

bool HasTimedOut(const FeedState& state,
                 const FeedSource& source,
                 absl::Time now) {
  return now - source.subscribed_at > state.settings.source_timeout &&
         !IsAlive(state, source, now);
}

// Sources with a stale copy are dropped one at a time, so that the node always
// has a source. Readers keep theirs: they notify each other of the changes that
// any of them reads, so replacing one gains nothing.
bool ShouldDropStaleSource(FeedState& state,
                           FeedSource& source,
                           absl::Time now) {
  if (state.is_reader || HasCurrentCopy(state, source, now)) {
    source.stale_since = absl::InfiniteFuture();
    return false;
  }
  source.stale_since = std::min(source.stale_since, now);
  const absl::Duration timeout = state.settings.stale_source_timeout;
  if (now - source.stale_since <= timeout ||
      now - state.stale_source_dropped_at <= timeout) {
    return false;
  }
  state.stale_source_dropped_at = now;
  return true;
}

}  // namespace

bool IsAlive(const FeedState& state, const FeedSource& source, absl::Time now) {
  return source.subscribed &&
         now - source.last_heard_at <= state.settings.source_timeout;
}

// A copy that is confirmed by this node's own read adds no information. Of two
// nodes that read without being readers, only the one with the larger address
// may rely on the other; otherwise both would stop reading.
bool HasCurrentCopy(const FeedState& state,
                    const FeedSource& source,
                    absl::Time now) {
  const std::string& origin = source.origin;
  const bool is_independent =
      origin != state.self.address &&
      (!state.reading || state.readers.contains(origin) ||
       origin < state.self.address);
  return is_independent && source.position.era >= state.era &&
         IsAlive(state, source, now) &&
         now - source.confirmed_at <= state.settings.max_age;
}

bool HasCurrentSource(const FeedState& state, absl::Time now) {
  return absl::c_any_of(state.sources, [&](const auto& source) {
    return HasCurrentCopy(state, source.second, now);
  });
}

bool HasLiveSource(const FeedState& state, absl::Time now) {
  return absl::c_any_of(state.sources, [&](const auto& source) {
    return IsAlive(state, source.second, now);
  });
}

Confirmation BestConfirmation(const FeedState& state, absl::Time now) {
  Confirmation best;
  if (state.reading && !state.read_failing) {
    best = {state.read_confirmed_at, state.self.address};
  }
  for (const auto& [address, source] : state.sources) {
    const Confirmation reported{source.confirmed_at, source.origin};
    if (IsAlive(state, source, now) && source.position.era >= state.era &&
        source.origin != state.self.address &&
        IsPreferred(state, reported, best, now)) {
      best = reported;
    }
  }
  return best;
}

void ResetSource(FeedSource& source) {
  source.subscribed = false;
  source.unsolicited = false;
  source.last_heard_at = absl::InfinitePast();
  source.confirmed_at = absl::InfinitePast();
  source.outage_at = absl::InfinitePast();
  source.stale_since = absl::InfiniteFuture();
}

void DropSources(FeedState& state, FeedActions& actions, absl::Time now) {
  const bool fed_by_candidates =
      absl::c_any_of(state.sources, [&](const auto& source) {
        return !source.second.unsolicited &&
               state.readers.contains(source.second.origin) &&
               HasCurrentCopy(state, source.second, now);
      });
  for (auto& [address, source] : state.sources) {
    if (!source.subscribed) {
      continue;
    }
    const bool listed = absl::c_linear_search(state.candidates, address);
    const bool is_wanted = listed || (source.unsolicited && !fed_by_candidates);
    if (is_wanted && !HasTimedOut(state, source, now) &&
        !ShouldDropStaleSource(state, source, now)) {
      continue;
    }
    ResetSource(source);
    source.backoff_until = now + state.settings.source_backoff;
    actions.unsubscribe.push_back(address);
  }
  for (auto at = state.sources.begin(); at != state.sources.end();) {
    const bool is_removable =
        !at->second.subscribed && at->second.backoff_until <= now &&
        !absl::c_linear_search(state.candidates, at->first);
    at = is_removable ? state.sources.erase(at) : std::next(at);
  }
}

void AddSources(FeedState& state, FeedActions& actions, absl::Time now) {
  size_t subscribed = static_cast<size_t>(
      absl::c_count_if(state.sources, [](const auto& source) {
        return source.second.subscribed && !source.second.unsolicited;
      }));
  for (const std::string& address : state.candidates) {
    if (subscribed >= TargetSourceCount(state)) {
      return;
    }
    FeedSource& source = state.sources[address];
    if (source.subscribed || now < source.backoff_until) {
      continue;
    }
    source.subscribed = true;
    source.subscribed_at = now;
    ++subscribed;
    actions.subscribe.push_back(address);
  }
}

}  // namespace boragepaddle::feed
