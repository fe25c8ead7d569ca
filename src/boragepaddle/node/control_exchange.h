#ifndef BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_
#define BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/node/control_state.h"

namespace boragepaddle::node {

/// Sends digests to the seed peers and schedules the first exchange and
/// platform read.
void StartExchange(ControlState& state,
                   absl::Time now,
                   uint64_t random,
                   ControlActions& actions);

/// Starts the exchange that is due, and another one if a peer did not answer.
void TickExchange(ControlState& state,
                  absl::Time now,
                  uint64_t random,
                  ControlActions& actions);

/// Queries the platform if a read is due on a node that is not a reader.
void TickPlatformRead(ControlState& state,
                      absl::Time now,
                      uint64_t random,
                      ControlActions& actions);

/// Schedules the next platform read of a node that is not a reader. Needs the
/// list, since the VMs of a zone share one read rate.
void PlanPlatformRead(ControlState& state, absl::Time now, uint64_t random);

/// Opens or closes the watches. Readers keep them open; other nodes do so while
/// they lack a configuration or a list.
void UpdateWatch(ControlState& state, absl::Time now, ControlActions& actions);

/// Digest message with the versions of this node.
schema::DigestExchange OwnDigests(const ControlState& state, bool reply);

/// True if a configuration and a list are held.
bool HasBoth(const ControlState& state);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_
