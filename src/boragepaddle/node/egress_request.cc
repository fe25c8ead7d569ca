#include "boragepaddle/node/egress_request.h"

#include <algorithm>

#include "boragepaddle/base/stable_hash.h"
#include "boragepaddle/retry/retry_tokens.h"

namespace boragepaddle::node {

namespace {

// Expired work leaves the upstream's queue within one tick (10 ms), and the
// answer takes a few milliseconds between zones. For short deadlines the margin
// is at most a tenth.
constexpr absl::Duration kMaxMargin = absl::Milliseconds(25);
constexpr int kMarginShare = 10;

schema::CallRequest MakeRequest(const EgressCall& call, absl::Time now) {
  const absl::Duration left = call.deadline - now;
  schema::CallRequest request;
  request.request_id = call.request_id;
  request.service = call.service;
  request.operation = call.operation;
  request.call_class = call.call_class;
  request.deadline_us = absl::ToInt64Microseconds(left - AnswerMargin(left));
  request.retry_tokens = call.delegated;
  request.ticket = call.ticket;
  request.at_most_once = call.rule.at_most_once;
  request.fingerprint =
      base::StableHash({call.service, call.operation, call.body});
  request.body = call.body;
  request.depth = call.depth;
  return request;
}

}  // namespace

absl::Duration AnswerMargin(absl::Duration left) {
  return std::min(kMaxMargin, left / kMarginShare);
}

SendAttempt SendTo(EgressCall& call,
                   ServiceState& service,
                   const schema::VmEntry& vm,
                   absl::Time now) {
  call.current_vm = vm.vm_id;
  call.tried.push_back(vm.vm_id);
  call.sent_at = now;
  // Tokens delegated to an operation without downstream calls could not be
  // used, and would be lost with the answer.
  call.delegated = call.rule.calls_others ? retry::Delegate(call.tokens) : 0;
  SendAttempt send;
  send.upstream = vm;
  send.request = MakeRequest(call, now);
  send.give_up_at = call.deadline;
  routing::OnSent(service.routes, call.current_vm, now);
  return send;
}

}  // namespace boragepaddle::node
