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

/// False if the service, or one below the operation, refuses the class now.
/// Counts the call.
bool PassesGates(ServiceState& service,
                 absl::string_view operation,
                 schema::CallClass call_class,
                 absl::Time now,
                 uint64_t random);

/// Starts a call. `random` are random bits, here and below. An at-most-once
/// call without a ticket, unless it is a child, only gets a ticket; one with
/// a ticket goes only to the process that the ticket names.
EgressAction BeginCall(EgressCall& call,
                       ServiceState& service,
                       const EgressSettings& settings,
                       absl::Time now,
                       uint64_t random);

/// The attempt was answered.
EgressAction OnAttemptAnswer(EgressCall& call,
                             ServiceState& service,
                             const EgressSettings& settings,
                             schema::CallAnswer answer,
                             absl::Time now,
                             uint64_t random);

/// The attempt, or the request for a ticket, got no answer.
EgressAction OnAttemptLoss(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           AttemptLoss loss,
                           absl::Time now,
                           uint64_t random);

/// The request for a ticket was answered.
EgressAction OnTicketGrant(EgressCall& call,
                           ServiceState& service,
                           const EgressSettings& settings,
                           schema::TicketGrant grant,
                           absl::Time now,
                           uint64_t random);

/// A WaitUntil is over.
EgressAction OnWaitOver(EgressCall& call,
                        ServiceState& service,
                        const EgressSettings& settings,
                        absl::Time now,
                        uint64_t random);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_H_
