#include "emulator/load_run.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace emulator {
namespace {

// Gives all threads time to start before the first arrival.
constexpr absl::Duration kStartDelay = absl::Milliseconds(100);
constexpr absl::Duration kResendPoll = absl::Milliseconds(1);

/// Orders a heap of resends by the earliest time.
constexpr auto kLaterTime = [](const auto& a, const auto& b) {
  return a.time > b.time;
};

}  // namespace

LoadRun::LoadRun(const LoadPlan& plan)
    : plan(plan),
      start(absl::Now() + kStartDelay),
      schedule(plan),
      recorder(plan, this->start),
      pool(plan.max_in_flight) {}

LoadOutput LoadRun::Run() {
  while (const absl::optional<Arrival> arrival = this->schedule.Next()) {
    const absl::Time time = this->start + arrival->offset;
    while (absl::Now() < time) {
      absl::SleepFor(std::min(time, this->NextResendTime()) - absl::Now());
      this->SendDueResends();
    }
    this->Enqueue(this->NewRequest(*arrival));
  }
  while (true) {
    this->SendDueResends();
    absl::MutexLock lock(&this->mutex);
    if (this->mutex.AwaitWithTimeout(absl::Condition(this, &LoadRun::IsIdle),
                                     kResendPoll)) {
      break;
    }
  }
  this->pool.shutdown();
  LoadOutput output;
  output.results = this->recorder.Take();
  output.connections_opened = this->clients.CreatedCount();
  output.start = this->start;
  absl::MutexLock lock(&this->mutex);
  output.request_results = std::move(this->request_results);
  output.max_send_delay = this->max_send_delay;
  return output;
}

LoadRequest LoadRun::NewRequest(const Arrival& arrival) {
  LoadRequest request;
  request.operation = arrival.operation;
  request.phase = arrival.phase;
  request.key = absl::StrCat(this->plan.run, "-", this->next_key);
  request.arrival = this->start + arrival.offset;
  request.next_entry = this->next_key++;
  absl::MutexLock lock(&this->mutex);
  ++this->unfinished_requests;
  return request;
}

void LoadRun::Enqueue(LoadRequest request) {
  this->pool.enqueue([this, request = std::move(request)]() mutable {
    this->Send(std::move(request));
  });
}

void LoadRun::Send(LoadRequest request) {
  const LoadOperation& operation = this->plan.operations[request.operation];
  if (request.attempts == 0 && request.ticket.empty()) {
    const absl::Duration delay = absl::Now() - request.arrival;
    if (delay >= operation.deadline) {
      return this->Finish(request, ClientOutcome::kNotSent);
    }
    absl::MutexLock lock(&this->mutex);
    this->max_send_delay = std::max(this->max_send_delay, delay);
  }
  const AttemptResult attempt = SendAttempt(operation, request, &this->clients);
  // A resend goes through another entry node.
  ++request.next_entry;
  this->OnAttempt(std::move(request), attempt);
}

void LoadRun::OnAttempt(LoadRequest request, const AttemptResult& attempt) {
  const LoadOperation& operation = this->plan.operations[request.operation];
  ++request.attempts;
  if (attempt.ticket_granted && request.ticket.empty()) {
    // Not an attempt: the node only asked for the ticket.
    --request.attempts;
    request.ticket = attempt.ticket;
    return this->Send(std::move(request));
  }
  ClientOutcome outcome = attempt.outcome;
  if (outcome == ClientOutcome::kCompleted &&
      attempt.latency > operation.deadline) {
    outcome = ClientOutcome::kLate;
  }
  this->recorder.OnAttempt(request, outcome, attempt.reason, attempt.latency);
  // A resend that was not run does not undo what an earlier
  // attempt ran.
  if (outcome != ClientOutcome::kNotRun) {
    request.last_effective_outcome = outcome;
  }
  if (!this->MayResend(request, outcome)) {
    return this->Finish(request, request.last_effective_outcome);
  }
  if (request.last_effective_outcome == ClientOutcome::kNotRun) {
    // Nothing ran under the ticket, so another upstream may be asked.
    request.ticket.clear();
  }
  absl::MutexLock lock(&this->mutex);
  this->resends.push_back(
      {absl::Now() + operation.resend_pause, std::move(request)});
  std::push_heap(this->resends.begin(), this->resends.end(), kLaterTime);
}

bool LoadRun::MayResend(const LoadRequest& request,
                        ClientOutcome outcome) const {
  const LoadOperation& operation = this->plan.operations[request.operation];
  if (request.attempts >= operation.attempts) {
    return false;
  }
  switch (outcome) {
    case ClientOutcome::kNotRun:
      return true;
    case ClientOutcome::kUnknown:
      return operation.resend_unknown || !request.ticket.empty();
    case ClientOutcome::kFailed:
    case ClientOutcome::kLate:
      return operation.resend_unknown;
    default:
      return false;
  }
}

void LoadRun::Finish(const LoadRequest& request, ClientOutcome outcome) {
  const absl::Duration latency = absl::Now() - request.arrival;
  this->recorder.OnRequestFinished(request, outcome, latency);
  const bool in_time =
      outcome == ClientOutcome::kCompleted &&
      latency <= this->plan.operations[request.operation].deadline;
  absl::MutexLock lock(&this->mutex);
  this->request_results.push_back({request.key, request.operation,
                                   request.phase, in_time, outcome,
                                   request.attempts});
  --this->unfinished_requests;
}

void LoadRun::SendDueResends() {
  std::vector<LoadRequest> due;
  {
    absl::MutexLock lock(&this->mutex);
    const absl::Time now = absl::Now();
    while (!this->resends.empty() && this->resends.front().time <= now) {
      std::pop_heap(this->resends.begin(), this->resends.end(), kLaterTime);
      due.push_back(std::move(this->resends.back().request));
      this->resends.pop_back();
    }
  }
  for (LoadRequest& request : due) {
    this->Enqueue(std::move(request));
  }
}

absl::Time LoadRun::NextResendTime() {
  absl::MutexLock lock(&this->mutex);
  // A resend can be planned while the sender sleeps.
  const absl::Time poll = absl::Now() + kResendPoll;
  return this->resends.empty() ? poll
                               : std::min(poll, this->resends.front().time);
}

bool LoadRun::IsIdle() const {
  return this->unfinished_requests == 0;
}

}  // namespace emulator
