#ifndef BORAGEPADDLE_NODE_CONTROL_SPREAD_H_
#define BORAGEPADDLE_NODE_CONTROL_SPREAD_H_

#include <cstdint>
#include <string>

#include "absl/types/span.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/node/control_state.h"

namespace boragepaddle::node {

/// How a version came to this node; decides to whom it is passed on.
enum class Arrival : uint8_t {
  kPlatform,
  /// Pushed by a reader of another zone.
  kRelayed,
  /// Pushed along the tree of this zone.
  kPushed,
  kFetchedInZone,
  kFetchedFromOtherZone,
};

/// The channel of a payload.
dissemination::SyncState& ChannelOf(ControlState& state, Payload payload);

/// Passes a newly held version on along the spreading trees.
/// `previous_version` is the version held before; `depth` that of the delta.
void SpreadHeld(ControlState& state,
                Payload payload,
                Arrival arrival,
                uint64_t previous_version,
                uint32_t depth,
                ControlActions& actions);

/// Passes an announcement on along its tree, once for each version and tree.
void SpreadAnnouncement(ControlState& state,
                        Payload payload,
                        const dissemination::VersionTag& tag,
                        uint32_t tree,
                        bool from_other_zone,
                        ControlActions& actions);

/// Delta from a version to what is held.
schema::Message DeltaFrom(const ControlState& state,
                          Payload payload,
                          uint64_t from_version,
                          uint32_t depth);

/// Adds an action that sends a message to a VM.
void SendTo(const ControlState& state,
            const dissemination::PeerEndpoint& peer,
            schema::Message message,
            ControlActions& actions);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_SPREAD_H_
