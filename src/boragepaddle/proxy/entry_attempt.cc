#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
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
  routing::ChoiceQuery query;
  query.service = call.service;
  query.availability_zone = this->settings.availability_zone;
  query.exclude = call.tried;
  query.now = now;
  query.random = this->random();
  query.only_with_room = true;
  const catalog::WorkerEntry* worker =
      routing::ChooseWorker(this->loads, this->store.workers, query);
  if (worker == nullptr && call.rejections > 0) {
    // Every worker refused once; a worker that sheds takes the next one.
    call.tried.clear();
    query.exclude = call.tried;
    worker = routing::ChooseWorker(this->loads, this->store.workers, query);
  }
  if (worker == nullptr && call.tried.empty()) {
    query.only_with_room = false;
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
        std::min(call.route->objective, call.give_up_at - call.arrived);
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
  message.repeatable = call.route->repeatable;
  message.repeat = call.offers > 0 || call.parent_repeat;
  message.time_left_us = absl::ToInt64Microseconds(call.give_up_at - now);
  message.objective_us =
      absl::ToInt64Microseconds(call.route->objective - (now - call.arrived));
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
  return call.route->repeatable && !answer.nested_failed &&
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
  routing::OnUse(this->root_gate, call.route->name, answer.use);
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
      routing::OnNoRoom(this->loads, call.instance, now);
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
  if (call.may_have_run && !call.route->repeatable) {
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
  return retry::TakeRepeat(this->budgets[call.service], this->BudgetSettings(),
                           part, this->store.workers.entries.size(), now);
}

retry::RepeatBudgetSettings Entry::BudgetSettings() const {
  retry::RepeatBudgetSettings budget;
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

std::vector<uint64_t> Entry::PendingOn(
    const event::PeerChannelPtr& channel) const {
  std::vector<uint64_t> ids;
  for (const auto& [id, call] : this->calls) {
    if (call->attempt_pending && call->channel == channel) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Entry::OnChannelSilent(const event::PeerChannelPtr& channel) {
  const absl::Time now = event::BootNow();
  size_t repeated = 0;
  const std::vector<uint64_t> pending = this->PendingOn(channel);
  for (const uint64_t id : pending) {
    EntryCall& call = *this->calls.at(id);
    routing::OnUnreachable(this->loads, call.instance, now);
    if (!call.route->repeatable) {
      continue;
    }
    // The silent node may have given the call to its worker.
    ++call.offers;
    if (!this->MayRepeat(call)) {
      --call.offers;
      continue;
    }
    this->CancelAttempt(call);
    call.may_have_run = true;
    call.last_reason = Reason::kPaused;
    ++repeated;
    this->Attempt(call);
  }
  this->log.State(telemetry::LogLine("entry", "peer_silent")
                      .Add("host", channel->host)
                      .Add("waiting", pending.size())
                      .Add("sent_elsewhere", repeated));
  // The connection may be dead although the node lives. One try: a node that
  // stands still must not find a connection for each of them.
  const bool tried = absl::c_any_of(pending, [this](uint64_t id) {
    const auto found = this->calls.find(id);
    return found != this->calls.end() && found->second->resuming;
  });
  if (!tried) {
    channel->Close();
  }
}

void Entry::OnChannelClosed(const event::PeerChannelPtr& channel) {
  const std::vector<uint64_t> pending = this->PendingOn(channel);
  this->waiting.erase(channel->number);
  std::vector<uint64_t> held;
  for (const uint64_t id : pending) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      continue;
    }
    EntryCall& call = *found->second;
    call.channel = nullptr;
    if (channel->was_open() && channel->peer_incarnation != 0) {
      call.resume_host = channel->host;
      call.resume_incarnation = channel->peer_incarnation;
      held.push_back(id);
    } else if (call.resuming && !channel->was_refused()) {
      call.resume_at = event::BootNow() + this->bounds.resume_pause;
    } else {
      this->OnAttemptLost(call, channel->was_open() || call.resuming);
    }
  }
  if (!held.empty()) {
    this->Resume(channel->host, channel->peer_incarnation, held);
  }
}

// The node at the other end knows what became of the calls that it was given.
// It is asked for as long as their clients wait: nobody else can tell whether
// a request that may not run twice has run.
void Entry::Resume(const std::string& host,
                   uint64_t incarnation,
                   const std::vector<uint64_t>& ids) {
  const event::PeerChannelPtr channel =
      this->peers.ChannelTo(host, this->settings.peer_port);
  schema::CallResume message;
  message.incarnation = incarnation;
  for (const uint64_t id : ids) {
    message.call_ids.push_back(this->calls.at(id)->attempt);
  }
  const bool asked = channel != nullptr && channel->Send(message);
  for (const uint64_t id : ids) {
    EntryCall& call = *this->calls.at(id);
    call.resuming = true;
    call.resume_at = asked ? absl::InfiniteFuture()
                           : event::BootNow() + this->bounds.resume_pause;
    if (asked) {
      call.channel = channel;
      ++this->waiting[channel->number];
    }
  }
  this->log.State(telemetry::LogLine("entry", "calls_resumed")
                      .Add("host", host)
                      .Add("calls", ids.size())
                      .Add("asked", asked));
}

void Entry::ResumeDue(absl::Time now) {
  std::map<std::pair<std::string, uint64_t>, std::vector<uint64_t>> due;
  for (const auto& [id, call] : this->calls) {
    if (call->attempt_pending && now >= call->resume_at) {
      due[{call->resume_host, call->resume_incarnation}].push_back(id);
    }
  }
  for (const auto& [node, ids] : due) {
    this->Resume(node.first, node.second, ids);
  }
}

void Entry::OnCallStates(const event::PeerChannelPtr& channel,
                         const schema::CallStates& states) {
  this->log.State(telemetry::LogLine("entry", "call_states")
                      .Add("host", channel->host)
                      .Add("never_received", states.never_received.size())
                      .Add("unknown", states.unknown.size()));
  for (const uint64_t attempt : states.never_received) {
    this->EndResumed(channel, attempt, /*sent=*/false);
  }
  for (const uint64_t attempt : states.unknown) {
    this->EndResumed(channel, attempt, /*sent=*/true);
  }
}

void Entry::EndResumed(const event::PeerChannelPtr& channel,
                       uint64_t attempt,
                       bool sent) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  EntryCall& call = *this->calls.at(found->second);
  if (call.resuming && call.channel == channel) {
    this->OnAttemptLost(call, sent);
  }
}

}  // namespace boragepaddle::proxy
