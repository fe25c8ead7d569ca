#ifndef BORAGEPADDLE_NODE_EGRESS_H_
#define BORAGEPADDLE_NODE_EGRESS_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/node/egress_call.h"
#include "boragepaddle/node/egress_settings.h"
#include "boragepaddle/node/service_state.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// False if the class is throttled at the service or at a service downstream of
/// the operation. Counts the call.
bool PassesGates(ServiceState& service,
                 absl::string_view operation,
                 schema::CallClass call_class,
                 absl::Time now,
                 uint64_t random);

/// Starts a call. `random` holds random bits, here and below. An at-most-once
/// call that has no ticket and is not a child only obtains a ticket; one with a
/// ticket is sent only to the process that the ticket names.
EgressAction BeginCall(EgressCall& call,
                       ServiceState& service,
                       const EgressSettings& settings,
                       absl::Time now,
                       uint64_t random);

/// Handles the answer to an attempt.
EgressAction OnAttemptAnswer(EgressCall& call,
                             ServiceState& service,
                             const EgressSettings& settings,
                             schema::CallAnswer answer,
                             absl::Time now,
                             uint64_t random);

/// Handles the loss of an attempt or of a ticket request.
EgressAction OnAttemptLoss(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           AttemptLoss loss,
                           absl::Time now,
                           uint64_t random);

/// Handles the answer to a ticket request.
EgressAction OnTicketGrant(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           schema::TicketGrant grant,
                           absl::Time now,
                           uint64_t random);

/// Continues the call after a WaitUntil.
EgressAction OnWaitOver(EgressCall& call,
                        ServiceState& service,
                        const EgressSettings& settings,
                        absl::Time now,
                        uint64_t random);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_H_
