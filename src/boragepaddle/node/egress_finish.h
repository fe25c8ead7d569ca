#ifndef BORAGEPADDLE_NODE_EGRESS_FINISH_H_
#define BORAGEPADDLE_NODE_EGRESS_FINISH_H_

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/service_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// True if the reason is a refusal because of overload.
bool IsOverload(schema::Reason reason);

/// Ends a call without a whole answer. A call that may have run ends unknown
/// and never not run.
FinishCall FinishWithout(const EgressCall& call,
                         schema::Outcome outcome,
                         schema::Reason reason);

/// Ends a call with a whole answer.
FinishCall FinishWith(const EgressCall& call, schema::CallAnswer answer);

/// Tells the gates how a call ended that had passed them.
void RecordEnd(ServiceState& service,
               const EgressCall& call,
               const FinishCall& finish,
               absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_FINISH_H_
