#ifndef BORAGEPADDLE_NODE_INGRESS_ANSWER_H_
#define BORAGEPADDLE_NODE_INGRESS_ANSWER_H_

#include <cstdint>

#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {

/// Number of calls that the worker may run now; 0 while it may be down.
uint32_t RunLimit(const IngressState& state, absl::Time now);

/// Number of classes, from the most important one, that are admitted now.
uint32_t IngressLevel(const IngressState& state, absl::Time now);

/// Returns an answer with the load of this node and no body.
schema::CallAnswer MakeAnswer(const IngressState& state,
                              uint64_t attempt_id,
                              schema::Outcome outcome,
                              schema::Reason reason,
                              absl::Time now);

/// Ends a call: stores the outcome under its ticket, answers the call and its
/// duplicates, and removes it. With a nonzero crash id, the answers are held
/// until the crash report is confirmed.
void EndCall(IngressState& state,
             CallKey key,
             schema::CallAnswer answer,
             uint64_t crash,
             IngressActions& actions);

/// Ends a call that was not passed to a worker. It must already have been
/// removed from admission.
void RefuseCall(IngressState& state,
                CallKey key,
                schema::Reason reason,
                absl::Time now,
                IngressActions& actions);

/// Carries out admission decisions.
void Apply(IngressState& state,
           const admission::AdmissionActions& decisions,
           absl::Time now,
           IngressActions& actions);

/// Submits the next waiting suspect to admission if none is admitted.
void AdmitSuspects(IngressState& state,
                   absl::Time now,
                   IngressActions& actions);

/// Records the service time of a call that the worker answered.
void RecordServiceTime(IngressState& state,
                       const IngressCall& call,
                       absl::Time now);

/// Submits a call to admission.
void Admit(IngressState& state,
           CallKey key,
           absl::Time now,
           IngressActions& actions);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_ANSWER_H_
