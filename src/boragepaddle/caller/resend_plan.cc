#include "boragepaddle/caller/resend_plan.h"

#include <utility>

namespace boragepaddle::caller {

namespace {

using schema::Outcome;
using schema::Reason;

/// True for refusals that another send cannot change.
bool IsFinal(Reason reason) {
  return reason == Reason::kBadRequest || reason == Reason::kUnknownService ||
         reason == Reason::kQuarantined || reason == Reason::kTicketInvalid ||
         reason == Reason::kIncarnationGone;
}

NextStep AfterNotRun(ResendPlan& plan) {
  if (IsFinal(plan.last.reason)) {
    return NextStep::kFinish;
  }
  if (plan.maybe_run) {
    // An earlier send may still be on its way to the named process, so that
    // a new ticket for another process could run the request twice.
    return NextStep::kSendElsewhere;
  }
  plan.ticket.clear();
  return NextStep::kSendElsewhere;
}

NextStep AfterUnknown(ResendPlan& plan) {
  plan.maybe_run = true;
  const bool may_repeat = !plan.ticket.empty() && !IsFinal(plan.last.reason);
  return may_repeat ? NextStep::kSendElsewhere : NextStep::kFinish;
}

}  // namespace

NextStep OnSendResult(ResendPlan& plan, SendResult sent, uint32_t attempts) {
  plan.last = std::move(sent.result);
  if (!sent.ticket.empty() && plan.ticket.empty() &&
      plan.ticket_requests < attempts) {
    ++plan.ticket_requests;
    plan.ticket = std::move(sent.ticket);
    return NextStep::kSendNow;
  }
  ++plan.sends;
  NextStep next = NextStep::kFinish;
  if (plan.last.outcome == Outcome::kNotRun) {
    next = AfterNotRun(plan);
  } else if (plan.last.outcome == Outcome::kUnknown) {
    next = AfterUnknown(plan);
  }
  if (plan.last.outcome == Outcome::kNotRun && plan.maybe_run) {
    plan.last.outcome = Outcome::kUnknown;
  }
  return plan.sends >= attempts ? NextStep::kFinish : next;
}

}  // namespace boragepaddle::caller
