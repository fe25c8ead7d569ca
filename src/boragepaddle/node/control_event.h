#ifndef BORAGEPADDLE_NODE_CONTROL_EVENT_H_
#define BORAGEPADDLE_NODE_CONTROL_EVENT_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "boragepaddle/config/folder.h"
#include "boragepaddle/dissemination/sync_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// The process has started and can send messages.
struct ControlStarted {};

/// Periodic tick, expected every 100 ms.
struct ControlTick {};

/// A message from another node, identified by its Hello.
struct PeerMessage {
  dissemination::PeerEndpoint from;
  schema::Message message;
};

/// The platform answered with a configuration.
struct PlatformConfig {
  uint64_t revision = 0;
  config::Folder files;
};

/// The platform answered with a VM list.
struct PlatformList {
  uint64_t revision = 0;
  std::vector<schema::VmEntry> vms;
};

/// Input of the control plane logic.
using ControlEvent = std::variant<ControlStarted,
                                  ControlTick,
                                  PeerMessage,
                                  PlatformConfig,
                                  PlatformList>;

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_EVENT_H_
