#ifndef BORAGEPADDLE_NODE_INGRESS_ANSWER_H_
#define BORAGEPADDLE_NODE_INGRESS_ANSWER_H_

#include <cstdint>

#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {

/// Calls that the worker may be given now; 0 while it may be down.
uint32_t RunLimit(const IngressState& state, absl::Time now);

/// Number of classes that would be admitted now.
uint32_t IngressLevel(const IngressState& state, absl::Time now);

/// An answer with the load of this node and no body.
schema::CallAnswer MakeAnswer(const IngressState& state,
                              uint64_t attempt_id,
                              schema::Outcome outcome,
                              schema::Reason reason,
                              absl::Time now);

/// Ends a call: stores the outcome under its ticket, answers it and its
/// repeats, and forgets it. With a crash, the answers are held until the
/// report is confirmed.
void EndCall(IngressState& state,
             CallKey key,
             schema::CallAnswer answer,
             uint64_t crash,
             IngressActions& actions);

/// Ends a call that was given to no worker. It must not be known to admission
/// any more.
void RefuseCall(IngressState& state,
                CallKey key,
                schema::Reason reason,
                absl::Time now,
                IngressActions& actions);

/// Carries out decisions of admission.
void Apply(IngressState& state,
           const admission::AdmissionActions& decisions,
           absl::Time now,
           IngressActions& actions);

/// Gives the next waiting suspect to admission if none is there.
void AdmitSuspects(IngressState& state,
                   absl::Time now,
                   IngressActions& actions);

/// Remembers the service time of a call that the worker answered.
void RecordServiceTime(IngressState& state,
                       const IngressCall& call,
                       absl::Time now);

/// Gives a call to admission.
void Admit(IngressState& state,
           CallKey key,
           absl::Time now,
           IngressActions& actions);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_ANSWER_H_
