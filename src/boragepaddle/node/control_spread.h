#ifndef BORAGEPADDLE_NODE_CONTROL_SPREAD_H_
#define BORAGEPADDLE_NODE_CONTROL_SPREAD_H_

#include <cstdint>
#include <string>

#include "absl/types/span.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/node/control_state.h"

namespace boragepaddle::node {

/// How a version reached this node; determines to whom it is forwarded.
enum class Arrival : uint8_t {
  kPlatform,
  /// Pushed by a reader in another zone.
  kRelayed,
  /// Pushed along the distribution tree of this zone.
  kPushed,
  kFetchedInZone,
  kFetchedFromOtherZone,
};

/// Returns the channel of a payload.
dissemination::SyncState& ChannelOf(ControlState& state, Payload payload);

/// Forwards a newly accepted version along the distribution trees.
/// `previous_version` is the version held before; `depth` is that of the
/// received delta.
void SpreadHeld(ControlState& state,
                Payload payload,
                Arrival arrival,
                uint64_t previous_version,
                uint32_t depth,
                ControlActions& actions);

/// Forwards an announcement along its tree, once per version and tree.
void SpreadAnnouncement(ControlState& state,
                        Payload payload,
                        const dissemination::VersionTag& tag,
                        uint32_t tree,
                        bool from_other_zone,
                        ControlActions& actions);

/// Returns the delta from a version to the held one.
schema::Message DeltaFrom(const ControlState& state,
                          Payload payload,
                          uint64_t from_version,
                          uint32_t depth);

/// Appends an action that sends a message to a VM.
void SendTo(const ControlState& state,
            const dissemination::PeerEndpoint& peer,
            schema::Message message,
            ControlActions& actions);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_SPREAD_H_
