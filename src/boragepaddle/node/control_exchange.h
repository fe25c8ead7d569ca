#ifndef BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_
#define BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/node/control_state.h"

namespace boragepaddle::node {

/// Asks the seed peers and plans the first exchange and platform read.
void StartExchange(ControlState& state,
                   absl::Time now,
                   uint64_t random,
                   ControlActions& actions);

/// Starts the exchange that is due, and another one if a peer did not answer.
void TickExchange(ControlState& state,
                  absl::Time now,
                  uint64_t random,
                  ControlActions& actions);

/// Asks the platform once if that is due on a node that is not a reader.
void TickPlatformRead(ControlState& state,
                      absl::Time now,
                      uint64_t random,
                      ControlActions& actions);

/// Plans the next read by a node that is not a reader; needs the list, because
/// the rate of a zone is shared by its VMs.
void PlanPlatformRead(ControlState& state, absl::Time now, uint64_t random);

/// Opens or closes the watches: readers keep them open, and other nodes while
/// they lack a configuration or a list.
void UpdateWatch(ControlState& state, absl::Time now, ControlActions& actions);

/// Versions of this node as a message.
schema::DigestExchange OwnDigests(const ControlState& state, bool reply);

/// True if a configuration and a list are held.
bool HasBoth(const ControlState& state);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_EXCHANGE_H_
