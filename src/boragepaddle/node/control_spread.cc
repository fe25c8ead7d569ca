#include "boragepaddle/node/control_spread.h"

#include <utility>
#include <vector>

#include "boragepaddle/dissemination/zone_index.h"

namespace boragepaddle::node {
namespace {

using dissemination::PeerEndpoint;
using dissemination::SyncState;
using dissemination::VersionTag;

using VmIds = std::vector<std::string>;

schema::Message AnnounceMessage(Payload payload,
                                const VersionTag& tag,
                                uint32_t tree) {
  if (payload == Payload::kConfig) {
    return schema::ConfigAnnounce{tag.version, tag.digest, tree};
  }
  return schema::ListAnnounce{tag.version, tag.digest, tree};
}

void SendToAll(const ControlState& state,
               const VmIds& vm_ids,
               const schema::Message& message,
               ControlActions& actions) {
  for (const std::string& vm_id : vm_ids) {
    SendTo(state, PeerEndpoint{vm_id, "", ""}, message, actions);
  }
}

VmIds OwnOrder(const ControlState& state, uint64_t version, uint32_t tree) {
  return dissemination::TreeOrder(state.zones, state.settings.availability_zone,
                                  version, tree);
}

void Announce(ControlState& state,
              Payload payload,
              const VersionTag& tag,
              uint32_t tree,
              bool enters_zone,
              ControlActions& actions) {
  if (!dissemination::MarkAnnounced(ChannelOf(state, payload), tag.version,
                                    tree)) {
    return;
  }
  const schema::Message message = AnnounceMessage(payload, tag, tree);
  const VmIds order = OwnOrder(state, tag.version, tree);
  if (enters_zone) {
    SendToAll(state, dissemination::RootChildren(order), message, actions);
  }
  SendToAll(state, dissemination::Children(order, state.settings.vm_id),
            message, actions);
}

void AnnounceToRelays(ControlState& state,
                      Payload payload,
                      const VersionTag& tag,
                      uint32_t tree,
                      ControlActions& actions) {
  const VmIds relays = dissemination::Relays(
      state.zones, state.settings.availability_zone, tag.version, tree);
  SendToAll(state, relays, AnnounceMessage(payload, tag, tree), actions);
}

bool IsWhole(const schema::Message& message) {
  const auto* config = std::get_if<schema::ConfigDelta>(&message);
  const auto* list = std::get_if<schema::ListDelta>(&message);
  return (config != nullptr && config->from_version == 0) ||
         (list != nullptr && list->from_version == 0);
}

/// Pushes the delta to the node's children. The node at which a version enters
/// a zone also pushes it to the first VMs of the order, and the first reader to
/// the other zones.
void PushDelta(ControlState& state,
               Payload payload,
               Arrival arrival,
               uint64_t previous_version,
               uint32_t depth,
               ControlActions& actions) {
  const uint64_t version = ChannelOf(state, payload).held.version;
  const VmIds order = OwnOrder(state, version, 0);
  const schema::Message message =
      DeltaFrom(state, payload, previous_version, depth + 1);
  const bool first_reader =
      arrival == Arrival::kPlatform && state.reader_rank == 0;
  if (first_reader || arrival == Arrival::kRelayed) {
    SendToAll(state, dissemination::RootChildren(order), message, actions);
  }
  SendToAll(state, dissemination::Children(order, state.settings.vm_id),
            message, actions);
  if (first_reader) {
    const VmIds relays = dissemination::Relays(
        state.zones, state.settings.availability_zone, version, 0);
    SendToAll(state, relays, DeltaFrom(state, payload, previous_version, 0),
              actions);
  }
}

/// Tree for this node's own announcements. The first reader pushes along tree 0
/// instead; a node that is not a reader uses tree 1.
uint32_t OwnTree(const ControlState& state) {
  return state.reader_rank < dissemination::kReadersPerZone
             ? static_cast<uint32_t>(state.reader_rank)
             : 1;
}

}  // namespace

SyncState& ChannelOf(ControlState& state, Payload payload) {
  return payload == Payload::kConfig ? state.config_channel
                                     : state.list_channel;
}

void SpreadHeld(ControlState& state,
                Payload payload,
                Arrival arrival,
                uint64_t previous_version,
                uint32_t depth,
                ControlActions& actions) {
  const VersionTag held = ChannelOf(state, payload).held;
  // Full content is never pushed unrequested: it may be megabytes, and a new
  // node receives a version that the others already have.
  const bool can_push =
      previous_version != 0 &&
      !IsWhole(DeltaFrom(state, payload, previous_version, depth));
  if (can_push) {
    PushDelta(state, payload, arrival, previous_version, depth, actions);
  }
  if (arrival == Arrival::kPlatform && (state.reader_rank != 0 || !can_push)) {
    const uint32_t tree = OwnTree(state);
    Announce(state, payload, held, tree, true, actions);
    AnnounceToRelays(state, payload, held, tree, actions);
  }
  if (arrival == Arrival::kFetchedFromOtherZone && previous_version != 0) {
    Announce(state, payload, held, 1, true, actions);
  }
}

void SpreadAnnouncement(ControlState& state,
                        Payload payload,
                        const VersionTag& tag,
                        uint32_t tree,
                        bool from_other_zone,
                        ControlActions& actions) {
  if (tree < dissemination::kReadersPerZone) {
    Announce(state, payload, tag, tree, from_other_zone, actions);
  }
}

schema::Message DeltaFrom(const ControlState& state,
                          Payload payload,
                          uint64_t from_version,
                          uint32_t depth) {
  if (payload == Payload::kConfig) {
    schema::ConfigDelta delta =
        dissemination::MakeDelta(*state.folder, state.config_log, from_version);
    delta.depth = depth;
    return delta;
  }
  schema::ListDelta delta =
      membership::MakeDelta(*state.view.list, state.list_log, from_version);
  delta.depth = depth;
  return delta;
}

void SendTo(const ControlState& state,
            const PeerEndpoint& peer,
            schema::Message message,
            ControlActions& actions) {
  if (!peer.vm_id.empty() && peer.vm_id == state.settings.vm_id) {
    return;
  }
  std::string address = peer.address;
  const schema::VmEntry* vm = membership::FindVm(*state.view.list, peer.vm_id);
  if (vm != nullptr) {
    address = vm->peer_address;
  }
  actions.push_back(
      SendMessage{peer.vm_id, std::move(address), std::move(message)});
}

}  // namespace boragepaddle::node
