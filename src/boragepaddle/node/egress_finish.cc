#include "boragepaddle/node/egress_finish.h"

#include <utility>

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr uint32_t kFirstServerError = 500;

}  // namespace

bool IsOverload(Reason reason) {
  return reason == Reason::kOverloaded || reason == Reason::kDisplaced ||
         reason == Reason::kRefusedBelow;
}

FinishCall FinishWithout(const EgressCall& call,
                         Outcome outcome,
                         Reason reason) {
  FinishCall finish;
  const bool possibly_run = outcome == Outcome::kNotRun && call.maybe_run;
  finish.outcome = possibly_run ? Outcome::kUnknown : outcome;
  finish.reason = reason;
  finish.tokens_left = call.tokens.remaining;
  finish.refused = IsOverload(reason);
  return finish;
}

FinishCall FinishWith(const EgressCall& call, schema::CallAnswer answer) {
  FinishCall finish;
  finish.outcome = answer.outcome;
  finish.reason = answer.reason;
  finish.status = answer.status;
  finish.content_type = std::move(answer.content_type);
  finish.body = std::move(answer.body);
  finish.tokens_left = call.tokens.remaining;
  // If the worker answers successfully although a downstream call was refused,
  // the refusal is not passed on.
  finish.refused = answer.refused_below && answer.status >= kFirstServerError;
  return finish;
}

void RecordEnd(ServiceState& service,
               const EgressCall& call,
               const FinishCall& finish,
               absl::Time now) {
  routing::ClassThrottle& downstream_throttle =
      service.operations[call.operation].downstream_throttle;
  if (finish.outcome == Outcome::kCompleted) {
    OnAccepted(service.throttle, call.call_class, now);
    if (finish.refused) {
      OnRefused(downstream_throttle, call.call_class, now);
    } else {
      OnAccepted(downstream_throttle, call.call_class, now);
    }
  } else if (finish.reason == Reason::kRefusedBelow) {
    OnRefused(downstream_throttle, call.call_class, now);
  } else if (finish.refused) {
    OnRefused(service.throttle, call.call_class, now);
  }
}

}  // namespace boragepaddle::node
