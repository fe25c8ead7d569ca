#ifndef BORAGEPADDLE_DISSEMINATION_SYNC_STATE_H_
#define BORAGEPADDLE_DISSEMINATION_SYNC_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::dissemination {

/// Version and digest of a configuration folder or of a VM list.
struct VersionTag {
  uint64_t version = 0;
  uint64_t digest = 0;
};

/// How an offered version relates to what a node has.
enum class VersionRelation : uint8_t {
  kOlder,
  kSame,
  /// Refused before with this digest.
  kRefused,
  /// Held or refused with another digest.
  kConflict,
  kNewer,
};

/// A node that can be asked for a version. A seed peer has no id before it
/// answers.
struct PeerEndpoint {
  std::string vm_id;
  std::string address;
  std::string availability_zone;
};

/// A request for changes that is due.
struct DueFetch {
  PeerEndpoint source;
  uint64_t from_version = 0;
};

/// A peer that asked for changes which this node is about to get.
struct DeferredFetch {
  PeerEndpoint peer;
  uint64_t from_version = 0;
};

/// Progress of one payload (configuration or VM list) on one node.
struct SyncState {
  VersionTag held;
  /// Newest refused version; 0 if none.
  VersionTag refused;
  /// Newest version that others have and this node lacks; 0 if none.
  VersionTag wanted;
  /// Peers that offered `wanted`; bounded.
  std::vector<PeerEndpoint> sources;
  size_t fetches = 0;
  /// The next fetch asks for everything, because a delta did not fit.
  bool fetch_full = false;
  absl::Time next_fetch = absl::InfiniteFuture();
  /// Source of the fetch under way; empty if none.
  std::string fetching_from;
  /// Answered when the next version is held; bounded.
  std::vector<DeferredFetch> deferred_fetches;
  /// Version whose announcements were passed on last, and a bit for each tree.
  uint64_t announced_version = 0;
  uint32_t announced_trees = 0;
};

/// Compares an offer with what the node has.
VersionRelation Compare(const SyncState& state, const VersionTag& offered);

/// Notes that a peer has a newer version; the fetch is due at `fetch_at` at the
/// latest.
void NoteOffer(SyncState& state,
               const VersionTag& offered,
               const PeerEndpoint& source,
               absl::Time fetch_at);

/// Returns the fetch that is due and plans the next one at another source in
/// case no answer comes.
std::optional<DueFetch> TakeDueFetch(SyncState& state, absl::Time now);

/// Notes that a version is in force.
void NoteHeld(SyncState& state, const VersionTag& held);

/// Notes that a version was refused, so that it is not fetched again.
void NoteRefused(SyncState& state, const VersionTag& refused);

/// Notes that a delta could not be applied: all content is asked for next.
void NoteUnusableDelta(SyncState& state, absl::Time now);

/// Notes that a peer asked for a version that was announced to this node but
/// has not arrived yet.
void DeferFetch(SyncState& state, const DeferredFetch& deferred_fetches);

/// Returns true once for each version and tree: whether an announcement is to
/// be passed on.
bool MarkAnnounced(SyncState& state, uint64_t version, uint32_t tree);

}  // namespace boragepaddle::dissemination

#endif  // BORAGEPADDLE_DISSEMINATION_SYNC_STATE_H_
