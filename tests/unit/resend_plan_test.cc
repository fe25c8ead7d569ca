#include "boragepaddle/caller/resend_plan.h"

#include <doctest/doctest.h>

namespace boragepaddle::caller {
namespace {

using schema::Outcome;
using schema::Reason;

SendResult Sent(Outcome outcome, Reason reason) {
  SendResult sent;
  sent.result.outcome = outcome;
  sent.result.reason = reason;
  return sent;
}

SendResult Ticket(const char* ticket) {
  SendResult sent = Sent(Outcome::kNotRun, Reason::kTicketNeeded);
  sent.ticket = ticket;
  return sent;
}

// Guards against a second execution of a request without a ticket.
TEST_CASE("caller: unknown without a ticket is never sent again") {
  ResendPlan plan;
  CHECK(OnSendResult(plan, Sent(Outcome::kUnknown, Reason::kTimeout), 5) ==
        NextStep::kFinish);
}

TEST_CASE("caller: unknown with a ticket is sent again with the same ticket") {
  ResendPlan plan;
  CHECK(OnSendResult(plan, Ticket("a"), 3) == NextStep::kSendNow);
  CHECK(OnSendResult(plan, Sent(Outcome::kUnknown, Reason::kTimeout), 3) ==
        NextStep::kSendElsewhere);
  // The unknown send may still arrive, so a new ticket could run it twice.
  CHECK(OnSendResult(plan, Sent(Outcome::kNotRun, Reason::kOverloaded), 3) ==
        NextStep::kSendElsewhere);
  CHECK(plan.ticket == "a");
  CHECK(OnSendResult(plan, Sent(Outcome::kNotRun, Reason::kOverloaded), 3) ==
        NextStep::kFinish);
  // Guards against a false "not run" (R4).
  CHECK(plan.last.outcome == Outcome::kUnknown);
}

TEST_CASE("caller: a ticket that was refused is replaced") {
  ResendPlan plan;
  OnSendResult(plan, Ticket("a"), 3);
  CHECK(OnSendResult(plan, Sent(Outcome::kNotRun, Reason::kOverloaded), 3) ==
        NextStep::kSendElsewhere);
  CHECK(plan.ticket.empty());
}

TEST_CASE("caller: a gone incarnation and a bad request end the call") {
  ResendPlan plan;
  OnSendResult(plan, Ticket("a"), 3);
  CHECK(OnSendResult(plan, Sent(Outcome::kUnknown, Reason::kIncarnationGone),
                     3) == NextStep::kFinish);
  ResendPlan other;
  CHECK(OnSendResult(other, Sent(Outcome::kNotRun, Reason::kBadRequest), 3) ==
        NextStep::kFinish);
}

}  // namespace
}  // namespace boragepaddle::caller
