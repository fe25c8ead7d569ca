#ifndef BORAGEPADDLE_NODE_EGRESS_FINISH_H_
#define BORAGEPADDLE_NODE_EGRESS_FINISH_H_

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/service_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// True if the reason denotes a refusal because of overload.
bool IsOverload(schema::Reason reason);

/// Result of a call without a complete answer. A call that may have run ends as
/// unknown, never as not run.
FinishCall FinishWithout(const EgressCall& call,
                         schema::Outcome outcome,
                         schema::Reason reason);

/// Result of a call with a complete answer.
FinishCall FinishWith(const EgressCall& call, schema::CallAnswer answer);

/// Reports the end of a call to the throttles that allowed it.
void RecordEnd(ServiceState& service,
               const EgressCall& call,
               const FinishCall& finish,
               absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_FINISH_H_
