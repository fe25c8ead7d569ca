#ifndef BORAGEPADDLE_NODE_EGRESS_REQUEST_H_
#define BORAGEPADDLE_NODE_EGRESS_REQUEST_H_

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/service_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Margin by which the upstream's deadline precedes the sender's, so that the
/// upstream's answer arrives before the sender gives up.
absl::Duration AnswerMargin(absl::Duration left);

/// Delegates retry tokens, records the attempt and returns the action to send
/// it.
SendAttempt SendTo(EgressCall& call,
                   ServiceState& service,
                   const schema::VmEntry& vm,
                   absl::Time now);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_REQUEST_H_
