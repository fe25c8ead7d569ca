#ifndef BORAGEPADDLE_NODE_INGRESS_CRASH_H_
#define BORAGEPADDLE_NODE_INGRESS_CRASH_H_

#include <cstdint>

#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {

/// Handles a started call that is no longer at the worker. Returns the id of
/// the crash that broke it, or 0.
uint64_t OnCallLeftWorker(IngressState& state,
                          CallKey key,
                          WorkerCallEnd end,
                          absl::Time now,
                          IngressActions& actions);

/// Releases answers whose hold time is over, and probes a worker that is down.
void TickCrashes(IngressState& state, absl::Time now, IngressActions& actions);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_CRASH_H_
