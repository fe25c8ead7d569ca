#include "boragepaddle/dissemination/channel.h"

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

void ForgetWanted(Channel& channel) {
  channel.wanted = VersionTag();
  channel.sources.clear();
  channel.fetches = 0;
  channel.fetch_whole = false;
  channel.next_fetch = absl::InfiniteFuture();
  channel.fetching_from.clear();
}

void AddSource(Channel& channel, const PeerName& source) {
  const auto same = [&](const PeerName& known) {
    return known.vm_id == source.vm_id;
  };
  const auto end = channel.sources.end();
  if (channel.sources.size() < kMaxSources &&
      std::find_if(channel.sources.begin(), end, same) == end) {
    channel.sources.push_back(source);
  }
}

}  // namespace

Relation Compare(const Channel& channel, const VersionTag& offered) {
  if (offered.version == channel.held.version) {
    const bool same = offered.digest == channel.held.digest;
    return same ? Relation::kSame : Relation::kConflict;
  }
  if (offered.version < channel.held.version) {
    return Relation::kOlder;
  }
  if (offered.version == channel.refused.version) {
    const bool same = offered.digest == channel.refused.digest;
    return same ? Relation::kRefused : Relation::kConflict;
  }
  // A version below a refused one is still newer than the one in force.
  return Relation::kNewer;
}

void NoteOffer(Channel& channel,
               const VersionTag& offered,
               const PeerName& source,
               absl::Time fetch_at) {
  if (offered.version < channel.wanted.version) {
    return;
  }
  if (offered.version > channel.wanted.version) {
    const bool whole = channel.fetch_whole;
    ForgetWanted(channel);
    channel.wanted = offered;
    channel.fetch_whole = whole;
  }
  AddSource(channel, source);
  if (channel.fetching_from.empty()) {
    channel.next_fetch = std::min(channel.next_fetch, fetch_at);
  }
}

std::optional<DueFetch> TakeDueFetch(Channel& channel, absl::Time now) {
  if (channel.sources.empty() || now < channel.next_fetch) {
    return std::nullopt;
  }
  if (channel.fetches >= kMaxFetches) {
    ForgetWanted(channel);
    return std::nullopt;
  }
  const size_t index = channel.fetches % channel.sources.size();
  const PeerName& source = channel.sources[index];
  ++channel.fetches;
  channel.next_fetch = now + kFetchTimeout;
  channel.fetching_from = source.vm_id;
  return DueFetch{source, channel.fetch_whole ? 0 : channel.held.version};
}

void NoteHeld(Channel& channel, const VersionTag& held) {
  channel.held = held;
  if (channel.wanted.version <= held.version) {
    ForgetWanted(channel);
  }
}

void NoteRefused(Channel& channel, const VersionTag& refused) {
  channel.refused = refused;
  if (channel.wanted.version <= refused.version) {
    ForgetWanted(channel);
  }
}

void NoteUnusableDelta(Channel& channel, absl::Time now) {
  channel.fetch_whole = true;
  channel.fetching_from.clear();
  channel.next_fetch = now;
}

void NoteWaiting(Channel& channel, const WaitingPeer& waiting) {
  if (channel.wanted.version > channel.held.version &&
      channel.waiting.size() < kMaxWaiting) {
    channel.waiting.push_back(waiting);
  }
}

bool MayAnnounce(Channel& channel, uint64_t version, uint32_t tree) {
  if (version < channel.announced_version) {
    return false;
  }
  if (version > channel.announced_version) {
    channel.announced_version = version;
    channel.announced_trees = 0;
  }
  const uint32_t bit = 1U << tree;
  if ((channel.announced_trees & bit) != 0) {
    return false;
  }
  channel.announced_trees |= bit;
  return true;
}

}  // namespace boragepaddle::dissemination
