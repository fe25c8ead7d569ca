#ifndef BORAGEPADDLE_NODE_EGRESS_BASELINE_H_
#define BORAGEPADDLE_NODE_EGRESS_BASELINE_H_

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/egress_settings.h"
#include "boragepaddle/node/service_state.h"

namespace boragepaddle::node {

/// Baseline policies `off` and `per_hop_retries`, for comparisons. Sends the
/// first attempt.
EgressAction BeginBaseline(EgressCall& call,
                           ServiceState& service,
                           absl::Time now);

/// Continues after an attempt that ended with `finish`.
EgressAction ContinueBaseline(EgressCall& call,
                              ServiceState& service,
                              EgressPolicy policy,
                              FinishCall finish,
                              absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_BASELINE_H_
