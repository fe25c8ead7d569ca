#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/entry.h"

// The attempts of one request: choice of a worker, sending, what follows from
// each answer, and repeats.

namespace boragepaddle::proxy {

namespace {

using schema::Outcome;
using schema::Reason;

bool IsWorkerFailure(const schema::HttpAnswer& answer) {
  return answer.outcome != Outcome::kCompleted || answer.status >= 500;
}

}  // namespace

void Entry::Attempt(EntryCall& call) {
  const absl::Time now = event::BootNow();
  if (now >= call.give_up_at) {
    this->GiveUp(call);
    return;
  }
  routing::WorkerQuery query;
  query.service = call.service;
  query.availability_zone = this->settings.availability_zone;
  query.exclude = call.tried;
  query.now = now;
  query.random = this->random();
  query.only_available = true;
  const catalog::WorkerEntry* worker =
      routing::ChooseWorker(this->loads, this->store.workers, query);
  if (worker == nullptr && call.rejections > 0) {
    // Every worker refused once; a worker that sheds takes the next one.
    call.tried.clear();
    query.exclude = call.tried;
    worker = routing::ChooseWorker(this->loads, this->store.workers, query);
  }
  if (worker == nullptr && call.tried.empty()) {
    query.only_available = false;
    worker = routing::ChooseWorker(this->loads, this->store.workers, query);
  }
  if (worker == nullptr) {
    this->EndUnsent(call);
    return;
  }
  this->SendTo(call, *worker);
}

// A refused nested call wastes all work above it, and a service often has room
// again a moment later, such as when one of its nodes restarts. A root request
// waits for as long as a refusal does its caller no harm.
bool Entry::Park(EntryCall& call) {
  const absl::Time now = event::BootNow();
  if (call.park_until == absl::InfinitePast()) {
    const absl::Duration objective =
        std::min(call.route->latency_objective, call.give_up_at - call.arrived);
    call.park_until =
        call.nested
            ? now + (call.give_up_at - now) * this->bounds.nested_park_part
            : call.arrived + objective * this->bounds.root_park_part;
  }
  if (now + this->bounds.park_pause > call.park_until) {
    return false;
  }
  call.look_again = now + this->bounds.park_pause;
  return true;
}

void Entry::EndUnsent(EntryCall& call) {
  if (this->Park(call)) {
    return;
  }
  if (call.may_have_run) {
    this->FailUnknown(call, 502);
    return;
  }
  this->RefuseNotRun(call);
}

void Entry::SendTo(EntryCall& call, const catalog::WorkerEntry& worker) {
  const absl::Time now = event::BootNow();
  call.attempt = this->next_attempt++;
  this->attempts[call.attempt] = call.id;
  schema::HttpCall message = this->MakeMessage(call, worker, now);
  call.instance = worker.instance;
  call.tried.push_back(worker.instance);
  call.sent_at = now;
  call.attempt_pending = true;
  routing::OnCallSent(this->loads, worker.instance);
  call.is_local = worker.host == this->settings.host;
  if (call.is_local) {
    call.channel = nullptr;
    call.local_id = 0;
    const uint64_t local_id = this->local.Handle(
        std::move(message), [this](schema::HttpAnswer answer) {
          boost::asio::post(this->loop,
                            [this, answer = std::move(answer)]() mutable {
                              this->OnAnswer(std::move(answer));
                            });
        });
    call.local_id = local_id;
    return;
  }
  call.channel = this->peers.ChannelTo(worker.host, this->settings.peer_port);
  if (call.channel == nullptr || !call.channel->Send(message)) {
    call.channel = nullptr;
    this->OnAttemptLost(call, /*sent=*/false);
    return;
  }
  ++this->waiting[call.channel->number];
}

schema::HttpCall Entry::MakeMessage(const EntryCall& call,
                                    const catalog::WorkerEntry& worker,
                                    absl::Time now) const {
  const event::HttpRequest& request = call.exchange->request();
  schema::HttpCall message;
  message.call_id = call.attempt;
  message.request_id = call.request_id;
  message.service = worker.service;
  message.instance = worker.instance;
  message.origin_service = this->settings.service;
  message.priority = call.priority;
  message.nested = call.nested;
  message.wants_use = call.wants_use;
  message.repeatable = call.route->idempotent;
  message.repeat = call.offers > 0 || call.parent_repeat;
  message.time_left_us = absl::ToInt64Microseconds(call.give_up_at - now);
  message.objective_us = absl::ToInt64Microseconds(
      call.route->latency_objective - (now - call.arrived));
  message.method = request.method;
  message.target = request.target;
  message.fields.push_back({"Host", request.host});
  for (const schema::HttpField& field : request.fields) {
    if (!absl::EqualsIgnoreCase(field.name, this->dialect.time_left_ms) &&
        !absl::EqualsIgnoreCase(field.name, this->dialect.expected_instance) &&
        !absl::EqualsIgnoreCase(field.name, this->dialect.origin_service)) {
      message.fields.push_back(field);
    }
  }
  message.body = request.body;
  return message;
}

void Entry::ForgetAttempt(EntryCall& call) {
  call.attempt_pending = false;
  call.resuming = false;
  call.resume_at = absl::InfiniteFuture();
  this->attempts.erase(call.attempt);
  if (call.channel != nullptr) {
    const auto found = this->waiting.find(call.channel->number);
    if (found != this->waiting.end() && --found->second == 0) {
      this->waiting.erase(found);
    }
    call.channel = nullptr;
  }
}

void Entry::OnAnswer(schema::HttpAnswer answer) {
  // Answers to attempts that were given up find no call.
  const auto found = this->attempts.find(answer.call_id);
  if (found == this->attempts.end()) {
    return;
  }
  EntryCall& call = *this->calls.at(found->second);
  routing::OnCallEnded(this->loads, call.instance, answer.load,
                       IsWorkerFailure(answer) && answer.offered,
                       event::BootNow());
  this->ForgetAttempt(call);
  this->OnAttemptEnd(call, answer);
}

void Entry::OnAttemptEnd(EntryCall& call, schema::HttpAnswer& answer) {
  call.last_reason = answer.reason;
  call.offers += answer.offered ? 1 : 0;
  switch (answer.outcome) {
    case Outcome::kCompleted:
      if (this->IsOwnFailure(call, answer) && this->MayRepeat(call)) {
        call.may_have_run = true;
        this->Attempt(call);
        return;
      }
      this->LearnUse(call, answer);
      this->Deliver(call, answer);
      return;
    case Outcome::kNotRun:
      this->OnNotRun(call, answer);
      return;
    case Outcome::kUnknown:
      call.may_have_run = true;
      if (this->MayRepeat(call)) {
        this->Attempt(call);
        return;
      }
      this->FailUnknown(call, 502);
      return;
  }
}

// Another worker may succeed where this one failed by itself; after a failed
// nested call it would most likely fail as well.
bool Entry::IsOwnFailure(const EntryCall& call,
                         const schema::HttpAnswer& answer) const {
  return call.route->idempotent && !answer.nested_failed &&
         answer.status >= 500 && answer.status != 504;
}

void Entry::LearnUse(const EntryCall& call, const schema::HttpAnswer& answer) {
  if (answer.use.empty()) {
    return;
  }
  if (call.nested) {
    this->local.AddUse(call.parent_id, answer.use);
    return;
  }
  routing::OnCostReport(this->root_gate, call.route->name, answer.use);
}

void Entry::OnNotRun(EntryCall& call, const schema::HttpAnswer& answer) {
  const absl::Time now = event::BootNow();
  call.retry_after =
      std::max(call.retry_after, absl::Microseconds(answer.retry_after_us));
  if (answer.offered) {
    // The worker itself refused; another send is a repeat for the budget.
    ++call.rejections;
    if (this->MayRepeat(call)) {
      this->Attempt(call);
      return;
    }
  } else {
    if (answer.reason == Reason::kWorkerLost ||
        answer.reason == Reason::kLeaving) {
      routing::OnUnreachable(this->loads, call.instance, now);
    } else {
      routing::OnWorkerFull(this->loads, call.instance, now);
    }
    if (++call.moves <= this->bounds.max_moves) {
      this->Attempt(call);
      return;
    }
    this->EndUnsent(call);
    return;
  }
  if (call.may_have_run) {
    this->FailUnknown(call, 502);
    return;
  }
  this->RefuseNotRun(call);
}

bool Entry::MayRepeat(const EntryCall& call) {
  const absl::Time now = event::BootNow();
  if (call.may_have_run && !call.route->idempotent) {
    return false;
  }
  // A refusal by a worker is no run, so it does not count for the route's
  // bound on workers.
  if (call.offers - call.rejections >= call.route->max_workers ||
      call.rejections > this->bounds.max_rejections ||
      call.give_up_at - now < this->bounds.min_repeat_time) {
    return false;
  }
  const double part = call.priority == 0 ? 1.0 : this->bounds.lower_repeat_part;
  return retry::TryTakeRetry(this->budgets[call.service],
                             this->BudgetSettings(), part,
                             this->store.workers.entries.size(), now);
}

retry::RetryBudgetSettings Entry::BudgetSettings() const {
  retry::RetryBudgetSettings budget;
  budget.ratio = this->settings.repeat_ratio;
  budget.allowance = this->settings.repeat_allowance;
  budget.window = this->settings.repeat_window;
  return budget;
}

void Entry::OnAttemptLost(EntryCall& call, bool sent) {
  routing::OnCallLost(this->loads, call.instance);
  if (sent || !call.resuming) {
    routing::OnUnreachable(this->loads, call.instance, event::BootNow());
  }
  schema::HttpAnswer lost;
  lost.outcome = sent ? Outcome::kUnknown : Outcome::kNotRun;
  lost.reason = Reason::kConnectionLost;
  lost.offered = sent;
  this->ForgetAttempt(call);
  if (sent) {
    this->OnAttemptEnd(call, lost);
    return;
  }
  call.last_reason = lost.reason;
  if (++call.moves <= this->bounds.max_moves) {
    this->Attempt(call);
    return;
  }
  this->EndUnsent(call);
}

}  // namespace boragepaddle::proxy
