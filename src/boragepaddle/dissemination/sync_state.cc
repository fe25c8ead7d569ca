#include "boragepaddle/dissemination/sync_state.h"

#include <algorithm>

namespace boragepaddle::dissemination {
namespace {

// Long enough for a whole VM list (2.5 MB) between zones; short enough that
// three silent sources leave room within the 5 s for a change.
constexpr absl::Duration kFetchTimeout = absl::Milliseconds(700);

constexpr size_t kMaxSources = 4;

// Twice the fan-out: children in two trees may ask at once.
constexpr size_t kMaxWaiting = 16;

// After this many unanswered fetches the offer is forgotten; the next digest
// exchange finds another source.
constexpr size_t kMaxFetches = 8;

void ClearWanted(SyncState& state) {
  state.wanted = VersionTag();
  state.sources.clear();
  state.fetches = 0;
  state.fetch_full = false;
  state.next_fetch = absl::InfiniteFuture();
  state.fetching_from.clear();
}

void AddSource(SyncState& state, const PeerEndpoint& source) {
  const auto same = [&](const PeerEndpoint& known) {
    return known.vm_id == source.vm_id;
  };
  const auto end = state.sources.end();
  if (state.sources.size() < kMaxSources &&
      std::find_if(state.sources.begin(), end, same) == end) {
    state.sources.push_back(source);
  }
}

}  // namespace

VersionRelation Compare(const SyncState& state, const VersionTag& offered) {
  if (offered.version == state.held.version) {
    const bool same = offered.digest == state.held.digest;
    return same ? VersionRelation::kSame : VersionRelation::kConflict;
  }
  if (offered.version < state.held.version) {
    return VersionRelation::kOlder;
  }
  if (offered.version == state.refused.version) {
    const bool same = offered.digest == state.refused.digest;
    return same ? VersionRelation::kRefused : VersionRelation::kConflict;
  }
  // A version below a refused one is still newer than the one in force.
  return VersionRelation::kNewer;
}

void NoteOffer(SyncState& state,
               const VersionTag& offered,
               const PeerEndpoint& source,
               absl::Time fetch_at) {
  if (offered.version < state.wanted.version) {
    return;
  }
  if (offered.version > state.wanted.version) {
    const bool whole = state.fetch_full;
    ClearWanted(state);
    state.wanted = offered;
    state.fetch_full = whole;
  }
  AddSource(state, source);
  if (state.fetching_from.empty()) {
    state.next_fetch = std::min(state.next_fetch, fetch_at);
  }
}

std::optional<DueFetch> TakeDueFetch(SyncState& state, absl::Time now) {
  if (state.sources.empty() || now < state.next_fetch) {
    return std::nullopt;
  }
  if (state.fetches >= kMaxFetches) {
    ClearWanted(state);
    return std::nullopt;
  }
  const size_t index = state.fetches % state.sources.size();
  const PeerEndpoint& source = state.sources[index];
  ++state.fetches;
  state.next_fetch = now + kFetchTimeout;
  state.fetching_from = source.vm_id;
  return DueFetch{source, state.fetch_full ? 0 : state.held.version};
}

void NoteHeld(SyncState& state, const VersionTag& held) {
  state.held = held;
  if (state.wanted.version <= held.version) {
    ClearWanted(state);
  }
}

void NoteRefused(SyncState& state, const VersionTag& refused) {
  state.refused = refused;
  if (state.wanted.version <= refused.version) {
    ClearWanted(state);
  }
}

void NoteUnusableDelta(SyncState& state, absl::Time now) {
  state.fetch_full = true;
  state.fetching_from.clear();
  state.next_fetch = now;
}

void DeferFetch(SyncState& state, const DeferredFetch& deferred_fetches) {
  if (state.wanted.version > state.held.version &&
      state.deferred_fetches.size() < kMaxWaiting) {
    state.deferred_fetches.push_back(deferred_fetches);
  }
}

bool MarkAnnounced(SyncState& state, uint64_t version, uint32_t tree) {
  if (version < state.announced_version) {
    return false;
  }
  if (version > state.announced_version) {
    state.announced_version = version;
    state.announced_trees = 0;
  }
  const uint32_t bit = 1U << tree;
  if ((state.announced_trees & bit) != 0) {
    return false;
  }
  state.announced_trees |= bit;
  return true;
}

}  // namespace boragepaddle::dissemination
