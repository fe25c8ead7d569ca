#ifndef BORAGEPADDLE_NODE_CONTROL_H_
#define BORAGEPADDLE_NODE_CONTROL_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/node/control_action.h"
#include "boragepaddle/node/control_event.h"
#include "boragepaddle/node/control_state.h"

namespace boragepaddle::node {

/// Expected interval of ControlTick events.
inline constexpr absl::Duration kControlTickInterval = absl::Milliseconds(100);

/// Handles one event. `random` holds fresh random bits. Deterministic: the same
/// state, event, time and bits give the same actions.
ControlActions OnControlEvent(ControlState& state,
                              const ControlEvent& event,
                              absl::Time now,
                              uint64_t random);

/// True once a configuration and a list are held and the seed peers have had
/// time to offer newer ones.
bool IsControlReady(const ControlState& state, absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CONTROL_H_
