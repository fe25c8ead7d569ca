#include "boragepaddle/node/ingress.h"

#include <algorithm>

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

schema::CallAnswer MakeAnswer(const IngressState& state,
                              uint64_t attempt_id,
                              Outcome outcome,
                              Reason reason) {
  schema::CallAnswer answer;
  answer.attempt_id = attempt_id;
  answer.incarnation = state.settings.incarnation;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.in_flight = state.running;
  answer.admission_level = state.queue.size() < state.settings.max_queue
                               ? schema::kCallClassCount
                               : 0;
  return answer;
}

AnswerCall Refuse(const IngressState& state,
                  CallKey key,
                  const schema::CallRequest& request,
                  Reason reason) {
  AnswerCall action{
      key, MakeAnswer(state, key.attempt_id, Outcome::kNotRun, reason)};
  action.answer.tokens_left = request.retry_tokens;
  return action;
}

void StartQueued(IngressState& state, IngressActions& actions) {
  while (state.running < state.settings.slots && !state.queue.empty()) {
    const CallKey key = state.queue.front();
    state.queue.pop_front();
    ++state.running;
    state.calls.at(key).running = true;
    actions.push_back(RunCall{key});
  }
}

void RefuseQueued(IngressState& state,
                  CallKey key,
                  Reason reason,
                  IngressActions& actions) {
  const auto found = state.calls.find(key);
  actions.push_back(Refuse(state, key, found->second.request, reason));
  state.calls.erase(found);
  state.queue.erase(std::find(state.queue.begin(), state.queue.end(), key));
}

void FillFromWorker(WorkerAnswer worker, schema::CallAnswer& answer) {
  switch (worker.end) {
    case WorkerCallEnd::kAnswered:
      answer.outcome = Outcome::kCompleted;
      answer.reason = Reason::kNone;
      answer.status = worker.status;
      answer.content_type = std::move(worker.content_type);
      answer.body = std::move(worker.body);
      return;
    case WorkerCallEnd::kNotSent:
      answer.outcome = Outcome::kNotRun;
      answer.reason = Reason::kWorkerLost;
      return;
    case WorkerCallEnd::kBroken:
      answer.reason = Reason::kWorkerLost;
      return;
    case WorkerCallEnd::kTimeout:
      answer.reason = Reason::kTimeout;
      return;
  }
}

}  // namespace

IngressActions OnCallRequest(IngressState& state,
                             uint64_t link_id,
                             schema::CallRequest request,
                             const CallRule& rule,
                             absl::Time now) {
  const CallKey key{link_id, request.attempt_id};
  if (state.leaving) {
    return {Refuse(state, key, request, Reason::kLeaving)};
  }
  if (request.deadline_us <= 0) {
    return {Refuse(state, key, request, Reason::kDeadline)};
  }
  if (state.queue.size() >= state.settings.max_queue) {
    return {Refuse(state, key, request, Reason::kOverloaded)};
  }
  IngressCall call;
  call.deadline = now + absl::Microseconds(request.deadline_us);
  call.request = std::move(request);
  call.rule = rule;
  if (!state.calls.emplace(key, std::move(call)).second) {
    return {};
  }
  state.queue.push_back(key);
  IngressActions actions;
  StartQueued(state, actions);
  return actions;
}

const IngressCall* BeginRun(IngressState& state,
                            CallKey key,
                            absl::Time now,
                            IngressActions& actions) {
  const IngressCall& call = state.calls.at(key);
  const bool expired = now >= call.deadline;
  if (!expired && !call.sender_gone) {
    return &call;
  }
  const Reason reason = expired ? Reason::kDeadline : Reason::kSenderGone;
  actions.push_back(Refuse(state, key, call.request, reason));
  state.calls.erase(key);
  --state.running;
  StartQueued(state, actions);
  return nullptr;
}

IngressActions OnWorkerEnd(IngressState& state,
                           CallKey key,
                           WorkerAnswer answer,
                           uint32_t tokens_left,
                           absl::Time /*now*/) {
  --state.running;
  AnswerCall action{
      key, MakeAnswer(state, key.attempt_id, Outcome::kUnknown, Reason::kNone)};
  FillFromWorker(std::move(answer), action.answer);
  action.answer.tokens_left = tokens_left;
  state.calls.erase(key);
  IngressActions actions{std::move(action)};
  StartQueued(state, actions);
  return actions;
}

IngressActions OnCancel(IngressState& state, CallKey key, absl::Time /*now*/) {
  const auto found = state.calls.find(key);
  if (found == state.calls.end()) {
    return {};
  }
  IngressActions actions;
  if (found->second.running) {
    found->second.sender_gone = true;
    actions.push_back(CancelRunningCall{key});
  } else {
    RefuseQueued(state, key, Reason::kCancelled, actions);
  }
  return actions;
}

IngressActions OnLinkClosed(IngressState& state,
                            uint64_t link_id,
                            absl::Time now) {
  std::vector<CallKey> keys;
  for (const auto& [key, call] : state.calls) {
    if (key.link_id == link_id) {
      keys.push_back(key);
    }
  }
  IngressActions actions;
  for (const CallKey key : keys) {
    for (IngressAction& action : OnCancel(state, key, now)) {
      actions.push_back(std::move(action));
    }
  }
  return actions;
}

IngressActions OnTick(IngressState& state, absl::Time now) {
  std::vector<CallKey> expired;
  for (const CallKey key : state.queue) {
    if (state.calls.at(key).deadline <= now) {
      expired.push_back(key);
    }
  }
  IngressActions actions;
  for (const CallKey key : expired) {
    RefuseQueued(state, key, Reason::kDeadline, actions);
  }
  return actions;
}

void StartLeaving(IngressState& state) {
  state.leaving = true;
}

bool IsDrained(const IngressState& state) {
  return state.calls.empty();
}

}  // namespace boragepaddle::node
