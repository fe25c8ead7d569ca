#include "boragepaddle/node/ingress.h"

#include <algorithm>
#include <utility>

#include "absl/types/optional.h"
#include "boragepaddle/base/stable_hash.h"
#include "boragepaddle/node/ingress_answer.h"
#include "boragepaddle/node/ingress_crash.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr uint32_t kStatusUnavailable = 503;
constexpr absl::Duration kExpireInterval = absl::Seconds(1);
// Suspects run one at a time; more than this would only wait until their
// deadlines.
constexpr size_t kMaxSuspects = 64;

/// Reason to refuse a call on arrival; empty if there is none. The call has not
/// been started, now or earlier.
absl::optional<Reason> RefusalOnArrival(const IngressState& state,
                                        const IngressCall& call,
                                        absl::Duration transit,
                                        absl::Time link_opened) {
  // Checked first, so that a node whose worker is down reports it too and the
  // sender stops retrying.
  if (quarantine::DecideAdmission(state.quarantine, call.request.fingerprint,
                                  call.arrived) ==
      quarantine::QuarantineDecision::kReject) {
    return Reason::kQuarantined;
  }
  if (state.leaving) {
    return Reason::kLeaving;
  }
  if (call.deadline <= call.arrived) {
    return Reason::kDeadline;
  }
  // The sender of an old frame may no longer wait, and its cancellation may be
  // the next frame.
  const bool link_untrusted = IsAfterPause(state.pause, call.arrived) &&
                              link_opened >= state.pause.last_pause_end;
  if (transit > state.pause.gap || link_untrusted) {
    return Reason::kPaused;
  }
  if (state.worker == WorkerState::kDown) {
    return Reason::kWorkerLost;
  }
  return absl::nullopt;
}

absl::optional<Reason> RefusalByQuarantine(
    quarantine::QuarantineDecision verdict) {
  switch (verdict) {
    case quarantine::QuarantineDecision::kReject:
      return Reason::kQuarantined;
    case quarantine::QuarantineDecision::kOtherVm:
      return Reason::kCrashSuspect;
    case quarantine::QuarantineDecision::kAllow:
    case quarantine::QuarantineDecision::kAllowExclusive:
      return absl::nullopt;
  }
  return absl::nullopt;
}

/// Applies quarantine and admission to a call that passed the other checks.
void DecideAdmission(IngressState& state,
                     CallKey key,
                     absl::Time now,
                     IngressActions& actions) {
  const uint64_t fingerprint = state.calls.at(key).request.fingerprint;
  const auto verdict =
      quarantine::DecideAdmission(state.quarantine, fingerprint, now);
  const auto refusal = RefusalByQuarantine(verdict);
  if (refusal) {
    return RefuseCall(state, key, *refusal, now, actions);
  }
  if (verdict == quarantine::QuarantineDecision::kAllow) {
    return Admit(state, key, now, actions);
  }
  if (state.suspects.size() >= kMaxSuspects) {
    return RefuseCall(state, key, Reason::kCrashSuspect, now, actions);
  }
  state.suspects.push_back(key);
}

void AnswerStored(const IngressState& state,
                  CallKey key,
                  uint32_t retry_tokens,
                  execution::StoredAnswer stored,
                  absl::Time now,
                  IngressActions& actions) {
  AnswerCall action{key, MakeAnswer(state, key.attempt_id, stored.outcome,
                                    stored.reason, now)};
  action.answer.status = stored.status;
  action.answer.content_type = std::move(stored.content_type);
  action.answer.body = std::move(stored.body);
  action.answer.tokens_left = retry_tokens;
  actions.push_back(std::move(action));
}

/// Looks up the call's ticket. False if the call is a duplicate, which is then
/// answered or waits.
bool BeginTicket(IngressState& state,
                 CallKey key,
                 IngressCall& call,
                 absl::Time now,
                 IngressActions& actions) {
  if (call.request.ticket.empty()) {
    return true;
  }
  const execution::Waiter waiter{key.link_id, key.attempt_id,
                                 call.request.retry_tokens};
  execution::BeginResult begun = execution::Begin(
      state.table, call.request.ticket, call.request.fingerprint, waiter, now);
  switch (begun.decision) {
    case execution::BeginDecision::kExecute:
      call.ticket_sequence = begun.sequence;
      return true;
    case execution::BeginDecision::kWait:
      state.duplicates[key] = begun.sequence;
      return false;
    case execution::BeginDecision::kAnswered:
      AnswerStored(state, key, call.request.retry_tokens,
                   std::move(begun.answer), now, actions);
      return false;
  }
  return false;
}

/// True if a sender waits for the result of the call.
bool IsWanted(const IngressState& state, const IngressCall& call) {
  return !call.sender_gone ||
         (call.ticket_sequence != 0 &&
          execution::HasWaiters(state.table, call.ticket_sequence));
}

/// Reason why a call must no longer be passed to the worker; empty if there is
/// none.
absl::optional<Reason> RefusalAtHandOver(const IngressState& state,
                                         const IngressCall& call,
                                         absl::Time now) {
  if (now >= call.deadline) {
    return Reason::kDeadline;
  }
  if (!IsWanted(state, call)) {
    return Reason::kSenderGone;
  }
  if (call.arrived < state.pause.last_pause_end) {
    return Reason::kPaused;
  }
  if (state.worker != WorkerState::kUp) {
    return Reason::kWorkerLost;
  }
  if (call.suspect) {
    // It runs as the only suspect; only a second crash elsewhere stops it.
    const auto verdict = quarantine::DecideAdmission(
        state.quarantine, call.request.fingerprint, now);
    return verdict == quarantine::QuarantineDecision::kReject
               ? absl::optional<Reason>(Reason::kQuarantined)
               : absl::nullopt;
  }
  // A crash report may have arrived while the call was queued.
  switch (quarantine::DecideAdmission(state.quarantine,
                                      call.request.fingerprint, now)) {
    case quarantine::QuarantineDecision::kAllow:
      return absl::nullopt;
    case quarantine::QuarantineDecision::kReject:
      return Reason::kQuarantined;
    case quarantine::QuarantineDecision::kAllowExclusive:
    case quarantine::QuarantineDecision::kOtherVm:
      return Reason::kCrashSuspect;
  }
  return absl::nullopt;
}

void FillFromWorker(WorkerAnswer worker,
                    bool cancelled,
                    schema::CallAnswer& answer) {
  switch (worker.end) {
    case WorkerCallEnd::kAnswered:
      if (cancelled && worker.status == kStatusUnavailable) {
        answer.reason = Reason::kCancelled;
        return;
      }
      answer.outcome = Outcome::kCompleted;
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

/// Updates the limit, service times and quarantine after the end of a call.
void RecordCallResult(IngressState& state,
                      const IngressCall& call,
                      WorkerCallEnd end,
                      absl::Time now,
                      IngressActions& actions) {
  const bool answered = end == WorkerCallEnd::kAnswered && !call.cancelled;
  if (answered || end == WorkerCallEnd::kTimeout) {
    limits::OnSample(
        state.limit, base::StableHash({call.request.operation}), call.begun,
        static_cast<uint32_t>(state.admission.running.size()), now);
  }
  if (!answered) {
    return;
  }
  RecordServiceTime(state, call, now);
  const auto cleared =
      quarantine::OnCompleted(state.quarantine, call.request.fingerprint, now);
  if (cleared) {
    actions.push_back(ReportCrash{0, {*cleared}});
  }
}

void CancelQueued(IngressState& state,
                  CallKey key,
                  absl::Time now,
                  IngressActions& actions) {
  IngressCall& call = state.calls.at(key);
  call.sender_gone = true;
  if (IsWanted(state, call)) {
    return;
  }
  if (!admission::OnCancel(state.admission, call.id)) {
    auto& suspects = state.suspects;
    suspects.erase(std::remove(suspects.begin(), suspects.end(), key),
                   suspects.end());
  }
  RefuseCall(state, key, Reason::kCancelled, now, actions);
}

void CancelDuplicate(IngressState& state,
                     CallKey key,
                     absl::Time now,
                     IngressActions& actions) {
  const auto found = state.duplicates.find(key);
  execution::RemoveWaiter(state.table, found->second,
                          {key.link_id, key.attempt_id, 0});
  state.duplicates.erase(found);
  actions.push_back(
      AnswerCall{key, MakeAnswer(state, key.attempt_id, Outcome::kUnknown,
                                 Reason::kCancelled, now)});
}

void Cancel(IngressState& state,
            CallKey key,
            absl::Time now,
            IngressActions& actions) {
  if (state.duplicates.contains(key)) {
    return CancelDuplicate(state, key, now, actions);
  }
  const auto found = state.calls.find(key);
  if (found == state.calls.end()) {
    return;
  }
  IngressCall& call = found->second;
  if (!call.running) {
    return CancelQueued(state, key, now, actions);
  }
  call.sender_gone = true;
  // An at-most-once call continues, so that a resend gets its outcome.
  const bool may_stop = !call.rule.at_most_once && call.ticket_sequence == 0;
  if (may_stop && call.begun != absl::InfinitePast() &&
      state.settings.worker_accepts_cancel) {
    actions.push_back(CancelRunningCall{key});
  }
}

void DropExpiredSuspects(IngressState& state,
                         absl::Time now,
                         IngressActions& actions) {
  const std::deque<CallKey> suspects = state.suspects;
  for (const CallKey key : suspects) {
    if (state.calls.at(key).deadline <= now) {
      state.suspects.erase(
          std::find(state.suspects.begin(), state.suspects.end(), key));
      RefuseCall(state, key, Reason::kDeadline, now, actions);
    }
  }
}

}  // namespace

IngressState MakeIngress(const IngressSettings& settings) {
  IngressState state;
  state.settings = settings;
  admission::AdmissionSettings queues;
  queues.max_queue = settings.max_queue;
  queues.worker_accepts_cancel = settings.worker_accepts_cancel;
  state.admission = admission::MakeAdmission(queues);
  limits::ConcurrencyLimiterSettings limit;
  limit.slots = settings.slots;
  state.limit = limits::MakeConcurrencyLimiter(limit);
  execution::TableSettings table;
  table.vm_id = settings.vm_id;
  table.incarnation = settings.incarnation;
  state.table = execution::MakeTable(table, settings.ticket_secret);
  state.quarantine.settings.service = settings.service;
  state.quarantine.settings.vm_id = settings.vm_id;
  return state;
}

void OnLinkOpen(IngressState& state,
                uint64_t link_id,
                int64_t sent_at_us,
                absl::Time now) {
  RecordEvent(state.pause, now);
  TransitClock& clock = state.links[link_id];
  clock.opened = now;
  TimeInTransit(clock, sent_at_us, !IsAfterPause(state.pause, now), now);
}

IngressActions OnCallRequest(IngressState& state,
                             uint64_t link_id,
                             schema::CallRequest request,
                             const CallRule& rule,
                             absl::Time now) {
  RecordEvent(state.pause, now);
  const CallKey key{link_id, request.attempt_id};
  if (state.calls.contains(key) || state.duplicates.contains(key)) {
    return {};
  }
  TransitClock& clock = state.links[link_id];
  const absl::Duration transit = TimeInTransit(
      clock, request.sent_at_us, !IsAfterPause(state.pause, now), now);
  IngressCall call;
  call.arrived = now;
  call.deadline = now + absl::Microseconds(request.deadline_us) - transit;
  call.request = std::move(request);
  call.rule = rule;
  call.id = state.next_id++;
  IngressActions actions;
  if (!BeginTicket(state, key, call, now, actions)) {
    return actions;
  }
  const auto refusal = RefusalOnArrival(state, call, transit, clock.opened);
  state.keys[call.id] = key;
  state.calls.emplace(key, std::move(call));
  if (refusal) {
    RefuseCall(state, key, *refusal, now, actions);
    return actions;
  }
  DecideAdmission(state, key, now, actions);
  AdmitSuspects(state, now, actions);
  return actions;
}

IngressActions OnTicketRequest(IngressState& state,
                               uint64_t link_id,
                               const schema::TicketRequest& request,
                               absl::Time now) {
  RecordEvent(state.pause, now);
  GrantTicket action;
  action.link_id = link_id;
  action.grant.attempt_id = request.attempt_id;
  const bool admitted =
      static_cast<uint32_t>(request.call_class) < IngressLevel(state, now);
  if (admitted) {
    action.grant.outcome = Outcome::kCompleted;
    action.grant.ticket = execution::IssueTicket(state.table, now);
  } else {
    // Another upstream may have capacity, and the request is not bound to a
    // node yet.
    action.grant.outcome = Outcome::kNotRun;
    action.grant.reason =
        state.leaving ? Reason::kLeaving : Reason::kOverloaded;
  }
  return {std::move(action)};
}

IngressActions RefuseForCallees(const IngressState& state,
                                uint64_t link_id,
                                const schema::CallRequest& request,
                                absl::Time now) {
  AnswerCall action;
  action.key = {link_id, request.attempt_id};
  action.answer =
      MakeAnswer(state, request.attempt_id, schema::Outcome::kNotRun,
                 schema::Reason::kRefusedBelow, now);
  action.answer.tokens_left = request.retry_tokens;
  action.answer.refused_below = true;
  return {std::move(action)};
}

const IngressCall* BeginRun(IngressState& state,
                            CallKey key,
                            absl::Time now,
                            IngressActions& actions) {
  RecordEvent(state.pause, now);
  IngressCall& call = state.calls.at(key);
  const auto refusal = RefusalAtHandOver(state, call, now);
  if (!refusal) {
    call.begun = now;
    return &call;
  }
  const auto decisions = admission::OnFinished(state.admission, call.id,
                                               RunLimit(state, now), now);
  RefuseCall(state, key, *refusal, now, actions);
  Apply(state, decisions, now, actions);
  AdmitSuspects(state, now, actions);
  return nullptr;
}

IngressActions OnWorkerEnd(IngressState& state,
                           CallKey key,
                           WorkerAnswer answer,
                           uint32_t tokens_left,
                           absl::Time now) {
  RecordEvent(state.pause, now);
  IngressActions actions;
  const IngressCall& call = state.calls.at(key);
  const bool cancelled = call.cancelled || call.sender_gone;
  const WorkerCallEnd end = answer.end;
  RecordCallResult(state, call, end, now, actions);
  if (end == WorkerCallEnd::kTimeout && state.settings.worker_accepts_cancel) {
    // No sender waits for the result, and the worker may still be processing
    // the call.
    actions.push_back(CancelRunningCall{key});
  }
  const uint64_t crash = OnCallLeftWorker(state, key, end, now, actions);
  const auto decisions = admission::OnFinished(state.admission, call.id,
                                               RunLimit(state, now), now);
  schema::CallAnswer message =
      MakeAnswer(state, key.attempt_id, Outcome::kUnknown, Reason::kNone, now);
  FillFromWorker(std::move(answer), cancelled, message);
  message.tokens_left = tokens_left;
  EndCall(state, key, std::move(message), crash, actions);
  Apply(state, decisions, now, actions);
  AdmitSuspects(state, now, actions);
  return actions;
}

IngressActions OnCancel(IngressState& state, CallKey key, absl::Time now) {
  RecordEvent(state.pause, now);
  IngressActions actions;
  Cancel(state, key, now, actions);
  AdmitSuspects(state, now, actions);
  return actions;
}

IngressActions OnLinkClosed(IngressState& state,
                            uint64_t link_id,
                            absl::Time now) {
  RecordEvent(state.pause, now);
  state.links.erase(link_id);
  std::vector<CallKey> keys;
  const CallKey first{link_id, 0};
  for (auto next = state.calls.lower_bound(first);
       next != state.calls.end() && next->first.link_id == link_id; ++next) {
    keys.push_back(next->first);
  }
  for (auto next = state.duplicates.lower_bound(first);
       next != state.duplicates.end() && next->first.link_id == link_id;
       ++next) {
    keys.push_back(next->first);
  }
  IngressActions actions;
  for (const CallKey key : keys) {
    Cancel(state, key, now, actions);
  }
  AdmitSuspects(state, now, actions);
  return actions;
}

IngressActions OnTick(IngressState& state, absl::Time now) {
  RecordEvent(state.pause, now);
  IngressActions actions;
  limits::OnTick(state.limit,
                 static_cast<uint32_t>(state.admission.running.size()), now);
  Apply(state, admission::OnTick(state.admission, RunLimit(state, now), now),
        now, actions);
  DropExpiredSuspects(state, now, actions);
  AdmitSuspects(state, now, actions);
  TickCrashes(state, now, actions);
  if (now >= state.expired_at + kExpireInterval) {
    state.expired_at = now;
    execution::Expire(state.table, now);
    quarantine::Expire(state.quarantine, now);
  }
  return actions;
}

void StartLeaving(IngressState& state) {
  state.leaving = true;
}

bool IsDrained(const IngressState& state) {
  return state.calls.empty() && state.duplicates.empty() &&
         state.crashes.empty();
}

}  // namespace boragepaddle::node
