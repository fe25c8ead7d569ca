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

/// How an offered version relates to the versions a node holds or refused.
enum class VersionRelation : uint8_t {
  kOlder,
  kSame,
  /// Refused before with the same digest.
  kRefused,
  /// Held or refused with a different digest.
  kConflict,
  kNewer,
};

/// A node from which a version can be fetched. The id of a seed peer is empty
/// until it answers.
struct PeerEndpoint {
  std::string vm_id;
  std::string address;
  std::string availability_zone;
};

/// A fetch to send now.
struct DueFetch {
  PeerEndpoint source;
  uint64_t from_version = 0;
};

/// A peer's fetch that is answered once this node holds the version.
struct DeferredFetch {
  PeerEndpoint peer;
  uint64_t from_version = 0;
};

/// Synchronization state of one payload (configuration or VM list) on a node.
struct SyncState {
  VersionTag held;
  /// Latest refused version; 0 if none.
  VersionTag refused;
  /// Latest version that peers hold and this node does not; 0 if none.
  VersionTag wanted;
  /// Peers that offered `wanted`; bounded.
  std::vector<PeerEndpoint> sources;
  size_t fetches = 0;
  /// The next fetch asks for the full content, as a delta could not be applied.
  bool fetch_full = false;
  absl::Time next_fetch = absl::InfiniteFuture();
  /// Source of the fetch in progress; empty if none.
  std::string fetching_from;
  /// Answered when this node holds the next version; bounded.
  std::vector<DeferredFetch> deferred_fetches;
  /// Last version whose announcement was forwarded, and a bit for each tree in
  /// which it was.
  uint64_t announced_version = 0;
  uint32_t announced_trees = 0;
};

/// Compares an offered version with the held and refused ones.
VersionRelation Compare(const SyncState& state, const VersionTag& offered);

/// Records that a peer has a newer version and schedules a fetch for `fetch_at`
/// or earlier.
void NoteOffer(SyncState& state,
               const VersionTag& offered,
               const PeerEndpoint& source,
               absl::Time fetch_at);

/// Returns the fetch that is due, if any, and schedules a retry at another
/// source in case no answer arrives.
std::optional<DueFetch> TakeDueFetch(SyncState& state, absl::Time now);

/// Records that a version is active.
void NoteHeld(SyncState& state, const VersionTag& held);

/// Records that a version was refused, so that it is not fetched again.
void NoteRefused(SyncState& state, const VersionTag& refused);

/// Records that a delta could not be applied; the next fetch asks for the full
/// content.
void NoteUnusableDelta(SyncState& state, absl::Time now);

/// Defers the answer to a peer that asked for a version which was announced to
/// this node but has not arrived yet.
void DeferFetch(SyncState& state, const DeferredFetch& fetch);

/// Records the announcement of a version in a tree. Returns true the first
/// time, when the announcement must be forwarded.
bool MarkAnnounced(SyncState& state, uint64_t version, uint32_t tree);

}  // namespace boragepaddle::dissemination

#endif  // BORAGEPADDLE_DISSEMINATION_SYNC_STATE_H_
