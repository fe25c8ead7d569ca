#include "boragepaddle/node/egress.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

FinishCall Finish(const EgressCall& call, Outcome outcome, Reason reason) {
  FinishCall finish;
  const bool possibly_run = outcome == Outcome::kNotRun && call.maybe_run;
  finish.outcome = possibly_run ? Outcome::kUnknown : outcome;
  finish.reason = reason;
  finish.tokens_left = call.tokens.left;
  return finish;
}

schema::CallRequest MakeRequest(EgressCall& call, absl::Time now) {
  schema::CallRequest request;
  request.request_id = call.request_id;
  request.service = call.service;
  request.operation = call.operation;
  request.call_class = call.call_class;
  request.deadline_us = absl::ToInt64Microseconds(call.deadline - now);
  request.retry_tokens = call.delegated;
  request.ticket = call.ticket;
  request.at_most_once = call.rule.at_most_once;
  request.fingerprint =
      base::StableHash({call.service, call.operation, call.body});
  request.body = call.body;
  request.depth = call.depth;
  return request;
}

EgressAction Attempt(EgressCall& call,
                     routing::RouteTable& routes,
                     const routing::Locality& locality,
                     Reason reason_if_none,
                     absl::Time now,
                     uint64_t random) {
  if (now >= call.deadline) {
    return Finish(call, Outcome::kNotRun, Reason::kDeadline);
  }
  const routing::Upstream* upstream =
      routing::PickUpstream(routes, locality, call.tried, now, random);
  if (upstream == nullptr) {
    return Finish(call, Outcome::kNotRun, reason_if_none);
  }
  SendAttempt send;
  send.upstream = upstream->vm;
  call.current_vm = upstream->vm.vm_id;
  call.tried.push_back(call.current_vm);
  call.delegated = retry::Delegate(call.tokens);
  send.request = MakeRequest(call, now);
  send.give_up_at = call.deadline;
  routing::OnSent(routes, call.current_vm);
  return send;
}

}  // namespace

EgressAction BeginCall(EgressCall& call,
                       routing::RouteTable& routes,
                       const routing::Locality& locality,
                       absl::Time now,
                       uint64_t random) {
  return Attempt(call, routes, locality, Reason::kNoUpstream, now, random);
}

EgressAction OnAttemptAnswer(EgressCall& call,
                             routing::RouteTable& routes,
                             const routing::Locality& locality,
                             schema::CallAnswer answer,
                             absl::Time now,
                             uint64_t random) {
  routing::OnAnswer(routes, call.current_vm, answer, now);
  retry::Return(call.tokens, call.delegated, answer.tokens_left);
  call.delegated = 0;
  if (answer.outcome == Outcome::kCompleted) {
    FinishCall finish = Finish(call, answer.outcome, answer.reason);
    finish.status = answer.status;
    finish.content_type = std::move(answer.content_type);
    finish.body = std::move(answer.body);
    return finish;
  }
  if (answer.outcome == Outcome::kUnknown) {
    call.maybe_run = true;
    if (!call.rule.retry_on_unknown || !retry::Spend(call.tokens)) {
      return Finish(call, Outcome::kUnknown, answer.reason);
    }
  }
  return Attempt(call, routes, locality, answer.reason, now, random);
}

EgressAction OnAttemptLoss(EgressCall& call,
                           routing::RouteTable& routes,
                           const routing::Locality& locality,
                           AttemptLoss loss,
                           absl::Time now,
                           uint64_t random) {
  routing::OnAttemptLost(routes, call.current_vm, now);
  if (loss == AttemptLoss::kNotSent) {
    retry::Return(call.tokens, call.delegated, call.delegated);
    call.delegated = 0;
    return Attempt(call, routes, locality, Reason::kNoUpstream, now, random);
  }
  // Tokens that went with the lost attempt count as spent.
  call.delegated = 0;
  call.maybe_run = true;
  const Reason reason = loss == AttemptLoss::kTimeout ? Reason::kTimeout
                                                      : Reason::kConnectionLost;
  const bool may_retry =
      call.rule.retry_on_unknown && loss != AttemptLoss::kCallerGone;
  if (!may_retry || !retry::Spend(call.tokens)) {
    return Finish(call, Outcome::kUnknown, reason);
  }
  return Attempt(call, routes, locality, reason, now, random);
}

EgressAction OnWaitOver(EgressCall& call,
                        routing::RouteTable& routes,
                        const routing::Locality& locality,
                        absl::Time now,
                        uint64_t random) {
  return Attempt(call, routes, locality, Reason::kOverloaded, now, random);
}

}  // namespace boragepaddle::node
