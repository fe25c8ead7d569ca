#include "boragepaddle/node/ingress_answer.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::node {

namespace {

using schema::Outcome;
using schema::Reason;

// Service times older than 2 s are ignored: if all calls are refused because of
// them, no new ones are measured.
constexpr absl::Duration kServiceTimePeriod = absl::Seconds(1);

absl::Duration MinService(const IngressState& state,
                          const IngressCall& call,
                          absl::Time now) {
  const auto found =
      state.service_times.find(base::StableHash({call.request.operation}));
  if (found == state.service_times.end()) {
    return absl::ZeroDuration();
  }
  return base::CurrentMinimum(found->second, kServiceTimePeriod, now)
      .value_or(absl::ZeroDuration());
}

void SendOrHold(IngressState& state,
                AnswerCall answer,
                uint64_t crash,
                IngressActions& actions) {
  const auto found = state.crashes.find(crash);
  if (found != state.crashes.end() && !found->second.unconfirmed.empty()) {
    found->second.held.push_back(std::move(answer));
    return;
  }
  actions.push_back(std::move(answer));
}

execution::StoredAnswer ToStored(const schema::CallAnswer& answer) {
  execution::StoredAnswer stored;
  stored.outcome = answer.outcome;
  stored.reason = answer.reason;
  stored.status = answer.status;
  stored.content_type = answer.content_type;
  stored.body = answer.body;
  return stored;
}

void AnswerDuplicates(IngressState& state,
                      uint64_t sequence,
                      const schema::CallAnswer& answer,
                      uint64_t crash,
                      IngressActions& actions) {
  for (const execution::Waiter& waiter :
       execution::Complete(state.table, sequence, ToStored(answer))) {
    AnswerCall duplicate{{waiter.link_id, waiter.attempt_id}, answer};
    duplicate.answer.attempt_id = waiter.attempt_id;
    // A duplicate executes nothing, so all its tokens are unspent.
    duplicate.answer.tokens_left = waiter.retry_tokens;
    state.duplicates.erase(duplicate.key);
    SendOrHold(state, std::move(duplicate), crash, actions);
  }
}

}  // namespace

uint32_t RunLimit(const IngressState& state, absl::Time now) {
  return state.worker == WorkerState::kUp
             ? limits::CurrentLimit(state.limit, now)
             : 0;
}

uint32_t IngressLevel(const IngressState& state, absl::Time now) {
  if (state.leaving) {
    return 0;
  }
  return admission::AdmissionLevel(state.admission, RunLimit(state, now), now);
}

schema::CallAnswer MakeAnswer(const IngressState& state,
                              uint64_t attempt_id,
                              Outcome outcome,
                              Reason reason,
                              absl::Time now) {
  schema::CallAnswer answer;
  answer.attempt_id = attempt_id;
  answer.incarnation = state.settings.incarnation;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.in_flight = static_cast<uint32_t>(state.admission.running.size());
  answer.admission_level = IngressLevel(state, now);
  answer.queue_delay_us =
      admission::QueuedCalls(state.admission) > 0
          ? absl::ToInt64Microseconds(state.admission.last_wait)
          : 0;
  return answer;
}

void EndCall(IngressState& state,
             CallKey key,
             schema::CallAnswer answer,
             uint64_t crash,
             IngressActions& actions) {
  const auto found = state.calls.find(key);
  const uint64_t sequence = found->second.ticket_sequence;
  if (found->second.suspect) {
    state.suspect_admitted = false;
  }
  state.keys.erase(found->second.id);
  state.calls.erase(found);
  if (sequence != 0) {
    AnswerDuplicates(state, sequence, answer, crash, actions);
  }
  SendOrHold(state, AnswerCall{key, std::move(answer)}, crash, actions);
}

void RefuseCall(IngressState& state,
                CallKey key,
                Reason reason,
                absl::Time now,
                IngressActions& actions) {
  schema::CallAnswer answer =
      MakeAnswer(state, key.attempt_id, Outcome::kNotRun, reason, now);
  answer.tokens_left = state.calls.at(key).request.retry_tokens;
  EndCall(state, key, std::move(answer), 0, actions);
}

void Apply(IngressState& state,
           const admission::AdmissionActions& decisions,
           absl::Time now,
           IngressActions& actions) {
  for (const admission::AdmissionAction& decision : decisions) {
    if (const auto* start = std::get_if<admission::StartCall>(&decision)) {
      const CallKey key = state.keys.at(start->id);
      state.calls.at(key).running = true;
      actions.push_back(RunCall{key});
    } else if (const auto* shed = std::get_if<admission::ShedCall>(&decision)) {
      RefuseCall(state, state.keys.at(shed->id), shed->reason, now, actions);
    } else if (const auto* cancel =
                   std::get_if<admission::CancelCall>(&decision)) {
      const CallKey key = state.keys.at(cancel->id);
      state.calls.at(key).cancelled = true;
      actions.push_back(CancelRunningCall{key});
    }
  }
}

void RecordServiceTime(IngressState& state,
                       const IngressCall& call,
                       absl::Time now) {
  base::AddSample(
      state.service_times[base::StableHash({call.request.operation})],
      now - call.begun, kServiceTimePeriod, now);
}

void Admit(IngressState& state,
           CallKey key,
           absl::Time now,
           IngressActions& actions) {
  const IngressCall& call = state.calls.at(key);
  admission::AdmissionCall arrival;
  arrival.id = call.id;
  arrival.call_class = call.request.call_class;
  arrival.depth = call.request.depth;
  arrival.arrived = now;
  arrival.deadline = call.deadline;
  arrival.min_service = MinService(state, call, now);
  arrival.queue_target = call.rule.queue_target;
  arrival.cancellable = call.rule.idempotent && !call.rule.at_most_once &&
                        call.ticket_sequence == 0;
  Apply(
      state,
      admission::OnArrival(state.admission, arrival, RunLimit(state, now), now),
      now, actions);
}

void AdmitSuspects(IngressState& state,
                   absl::Time now,
                   IngressActions& actions) {
  while (!state.suspect_admitted && !state.suspects.empty()) {
    const CallKey key = state.suspects.front();
    state.suspects.pop_front();
    state.suspect_admitted = true;
    state.calls.at(key).suspect = true;
    Admit(state, key, now, actions);
  }
}

}  // namespace boragepaddle::node
