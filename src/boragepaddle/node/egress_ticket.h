#ifndef BORAGEPADDLE_NODE_EGRESS_TICKET_H_
#define BORAGEPADDLE_NODE_EGRESS_TICKET_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/egress_settings.h"
#include "boragepaddle/node/service_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// True if the call needs a ticket before it may be sent.
bool NeedsTicket(const EgressCall& call);

/// Requests a ticket from another upstream; ends the call with `reason` after a
/// few attempts.
EgressAction AskForTicket(EgressCall& call,
                          ServiceState& service,
                          const EgressSettings& settings,
                          schema::Reason reason,
                          absl::Time now,
                          uint64_t random);

/// Sends a call with a ticket to the process named in the ticket.
EgressAction BeginTicketed(EgressCall& call,
                           ServiceState& service,
                           absl::Time now);

/// Ends a call with a ticket after the answer to its only attempt.
FinishCall EndTicketed(const EgressCall& call, schema::CallAnswer answer);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_TICKET_H_
