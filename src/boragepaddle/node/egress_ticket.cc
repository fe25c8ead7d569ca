#include "boragepaddle/node/egress_ticket.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/node/egress_finish.h"
#include "boragepaddle/node/egress_request.h"
#include "boragepaddle/node/ticket_target.h"
#include "boragepaddle/routing/pick.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr size_t kMaxTicketRequests = 3;
// Issuing a ticket executes nothing, so another node is tried if one is slow to
// answer.
constexpr absl::Duration kTicketTimeout = absl::Milliseconds(250);

}  // namespace

bool NeedsTicket(const EgressCall& call) {
  return call.rule.at_most_once && !call.child && call.ticket.empty();
}

EgressAction AskForTicket(EgressCall& call,
                          ServiceState& service,
                          const EgressSettings& settings,
                          Reason reason,
                          absl::Time now,
                          uint64_t random) {
  routing::PickQuery query;
  query.call_class = call.call_class;
  query.exclude = call.tried;
  query.now = now;
  query.random = random;
  const routing::Pick pick =
      routing::PickUpstream(service.routes, settings.locality, query);
  if (pick.upstream == nullptr || call.tried.size() >= kMaxTicketRequests ||
      now >= call.deadline) {
    return FinishWithout(call, Outcome::kNotRun,
                         pick.refused ? Reason::kOverloaded : reason);
  }
  AskTicket ask;
  ask.upstream = pick.upstream->vm;
  ask.request.service = call.service;
  ask.request.operation = call.operation;
  ask.request.call_class = call.call_class;
  ask.give_up_at = std::min(call.deadline, now + kTicketTimeout);
  call.current_vm = ask.upstream.vm_id;
  call.tried.push_back(call.current_vm);
  return ask;
}

EgressAction BeginTicketed(EgressCall& call,
                           ServiceState& service,
                           absl::Time now) {
  const auto target = ReadTicketTarget(call.ticket);
  if (!target) {
    // May be a corrupted copy of a ticket whose request has already run.
    return FinishWithout(call, Outcome::kUnknown, Reason::kTicketInvalid);
  }
  call.maybe_run = true;
  const routing::Upstream* upstream =
      routing::FindUpstream(service.routes, target->vm_id);
  const bool replaced = upstream != nullptr && upstream->incarnation != 0 &&
                        upstream->incarnation != target->incarnation;
  const schema::VmEntry* vm =
      routing::FindListed(service.routes, target->vm_id);
  // A VM that is no longer listed may still be finishing its work.
  if (vm == nullptr && upstream != nullptr) {
    vm = &upstream->vm;
  }
  if (replaced || vm == nullptr) {
    return FinishWithout(call, Outcome::kUnknown, Reason::kIncarnationGone);
  }
  if (now >= call.deadline) {
    return FinishWithout(call, Outcome::kUnknown, Reason::kDeadline);
  }
  const schema::VmEntry target_vm = *vm;
  return SendTo(call, service, target_vm, now);
}

FinishCall EndTicketed(const EgressCall& call, schema::CallAnswer answer) {
  const auto target = ReadTicketTarget(call.ticket);
  if (!target || answer.incarnation != target->incarnation) {
    return FinishWithout(call, Outcome::kUnknown, Reason::kIncarnationGone);
  }
  FinishCall finish;
  if (answer.outcome == Outcome::kCompleted) {
    return FinishWith(call, std::move(answer));
  }
  finish = FinishWithout(call, answer.outcome, answer.reason);
  // Only the named incarnation can have run the request, so its answer is
  // definite.
  finish.outcome = answer.outcome;
  return finish;
}

}  // namespace boragepaddle::node
