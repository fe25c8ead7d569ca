#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/request_router.h"
#include "boragepaddle/quarantine/request_fingerprint.h"

// Attempts of one request: choice of a worker, sending, handling of answers,
// and retries.

namespace boragepaddle::proxy {

namespace {

using schema::Outcome;
using schema::Reason;

/// True for statuses that tell clients that the request was not run. A worker's
/// answer with such a status says so only if it is marked as a rejection.
bool StatesNotRun(uint32_t status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// A lack of memory at a node is no failure of the worker.
bool IsWorkerFailure(const schema::HttpAnswer& answer) {
  return answer.reason != Reason::kNoMemory &&
         (answer.outcome != Outcome::kCompleted || answer.status >= 500);
}

}  // namespace

void RequestRouter::SendAttempt(RoutedCall& call) {
  const absl::Time now = event::BootNow();
  if (now >= call.deadline) {
    this->TimeOut(call);
    return;
  }
  if (this->OutlastsProcess(call, now)) {
    this->RefuseForShutdown(call, now);
    return;
  }
  if (this->quarantine.has_rejections() &&
      this->quarantine.IsRejected(this->FingerprintOf(call), now)) {
    this->RefuseQuarantined(call);
    return;
  }
  routing::WorkerQuery query;
  query.service = call.service;
  query.availability_zone = this->settings.availability_zone;
  query.exclude = call.tried_instances;
  query.now = now;
  query.random = this->random();
  query.only_available = true;
  const catalog::WorkerEntry* worker = routing::ChooseWorkerForService(
      this->loads, this->store.workers, this->worker_index, query);
  if (worker == nullptr && call.worker_rejections > 0) {
    // All workers have rejected the call once; a worker that sheds load may
    // accept the next one.
    call.tried_instances.clear();
    query.exclude = call.tried_instances;
    worker = routing::ChooseWorkerForService(this->loads, this->store.workers,
                                             this->worker_index, query);
  }
  if (worker == nullptr && call.tried_instances.empty()) {
    query.only_available = false;
    worker = routing::ChooseWorkerForService(this->loads, this->store.workers,
                                             this->worker_index, query);
  }
  if (worker == nullptr) {
    this->WaitOrRefuse(call);
    return;
  }
  this->SendTo(call, *worker);
}

uint64_t RequestRouter::FingerprintOf(const RoutedCall& call) const {
  const event::HttpRequest& request = call.exchange->request();
  quarantine::RequestIdentity identity;
  identity.service = call.service;
  identity.method = request.method;
  identity.authority = request.host;
  identity.target = request.target;
  identity.origin_service = this->settings.service;
  identity.body = call.body == nullptr ? request.body : *call.body;
  return quarantine::Fingerprint(identity);
}

// All nodes refuse the request, for a long time.
void RequestRouter::RefuseQuarantined(RoutedCall& call) {
  call.last_reason = Reason::kQuarantined;
  call.retry_after = this->bounds.max_retry_after;
  if (call.may_have_run) {
    this->ReplyUnknown(call, 502);
    return;
  }
  this->ReplyNotRun(call);
}

CallTimeBounds RequestRouter::TimeBounds(const RoutedCall& call,
                                         absl::Time now) const {
  CallTimeBounds bounds;
  bounds.limit = call.deadline - now;
  bounds.longest_recent = admission::LongestCallTime(
      this->nested_times, call.route->name, call.service, now);
  return bounds;
}

bool RequestRouter::OutlastsProcess(const RoutedCall& call,
                                    absl::Time now) const {
  return call.nested && this->shutdown.refuses_roots &&
         !FitsBeforeEnd(this->shutdown, this->TimeBounds(call, now), now);
}

void RequestRouter::RefuseForShutdown(RoutedCall& call, absl::Time now) {
  const CallTimeBounds bounds = this->TimeBounds(call, now);
  this->log.LogFailedRequest(
      telemetry::LogLine("entry", "refused_for_shutdown")
          .Add("request", call.request_id)
          .Add("route", call.route->name)
          .Add("time_left_ms", absl::ToInt64Milliseconds(bounds.limit))
          .Add("longest_recent", absl::FormatDuration(bounds.longest_recent))
          .Add("process_ends_in_ms",
               absl::ToInt64Milliseconds(TimeUntilEnd(this->shutdown, now))),
      now);
  call.refused_for_shutdown = true;
  call.last_reason = Reason::kLeaving;
  if (call.may_have_run) {
    this->ReplyUnknown(call, 502);
    return;
  }
  this->ReplyNotRun(call);
}

// A refused nested call wastes all work of its ancestors, and a service often
// has capacity again a moment later, such as when one of its nodes restarts. A
// root request waits only as long as a later refusal does the client no harm.
bool RequestRouter::WaitForCapacity(RoutedCall& call) {
  const absl::Time now = event::BootNow();
  if (call.capacity_wait_until == absl::InfinitePast()) {
    const absl::Duration objective =
        std::min(call.route->latency_objective, call.deadline - call.arrived);
    call.capacity_wait_until =
        call.nested ? now + (call.deadline - now) *
                                this->bounds.nested_capacity_wait_fraction
                    : call.arrived +
                          objective * this->bounds.root_capacity_wait_fraction;
  }
  if (now + this->bounds.capacity_poll_interval > call.capacity_wait_until) {
    return false;
  }
  call.next_capacity_check_at = now + this->bounds.capacity_poll_interval;
  return true;
}

void RequestRouter::WaitOrRefuse(RoutedCall& call) {
  if (this->WaitForCapacity(call)) {
    return;
  }
  if (call.may_have_run) {
    this->ReplyUnknown(call, 502);
    return;
  }
  this->ReplyNotRun(call);
}

void RequestRouter::SendTo(RoutedCall& call,
                           const catalog::WorkerEntry& worker) {
  const absl::Time now = event::BootNow();
  call.attempt_id = this->next_attempt++;
  this->calls_by_attempt[call.attempt_id] = call.id;
  schema::HttpCall message = this->MakeMessage(call, worker, now);
  call.instance = worker.instance;
  call.tried_instances.push_back(worker.instance);
  call.sent_at = now;
  call.is_attempt_pending = true;
  routing::OnCallSent(this->loads, worker.instance);
  call.is_local = worker.host == this->settings.host;
  if (call.is_local) {
    call.channel = nullptr;
    call.local_call_id = 0;
    const uint64_t local_call_id = this->local_worker.Handle(
        std::move(message), call.body,
        [this](schema::HttpAnswer answer,
               event::MemoryReservation reservation) {
          boost::asio::post(
              this->loop, [this, answer = std::move(answer),
                           reservation = std::move(reservation)]() mutable {
                this->OnAnswer(std::move(answer), std::move(reservation));
              });
        });
    call.local_call_id = local_call_id;
    return;
  }
  call.channel = this->peers.ChannelTo(worker.host, this->settings.peer_port);
  if (call.channel == nullptr || !call.channel->Send(message)) {
    call.channel = nullptr;
    this->OnAttemptLost(call, /*sent=*/false);
    return;
  }
  ++this->attempts_by_channel[call.channel->number];
  if (call.body != nullptr) {
    this->body_sender.Start(call.channel, call.attempt_id, /*of_answer=*/false,
                            call.body);
  }
}

schema::HttpCall RequestRouter::MakeMessage(const RoutedCall& call,
                                            const catalog::WorkerEntry& worker,
                                            absl::Time now) const {
  const event::HttpRequest& request = call.exchange->request();
  schema::HttpCall message;
  message.call_id = call.attempt_id;
  message.request_id = call.request_id;
  message.service = worker.service;
  message.instance = worker.instance;
  message.origin_service = this->settings.service;
  message.priority = call.priority;
  message.account = call.account;
  message.nested = call.nested;
  message.wants_use = call.wants_use;
  message.repeatable = call.route->idempotent;
  message.repeat = call.worker_attempts > 0 || call.parent_is_retry;
  message.time_left_us = absl::ToInt64Microseconds(call.deadline - now);
  message.rate_limit = routing::KnownRateLimit(this->loads, worker.instance);
  message.objective_us = absl::ToInt64Microseconds(
      call.route->latency_objective - (now - call.arrived));
  message.method = request.method;
  message.target = request.target;
  message.fields.push_back({"Host", request.host});
  for (const schema::HttpField& field : request.fields) {
    if (!this->IsSetByNode(call, field.name)) {
      message.fields.push_back(field);
    }
  }
  if (call.client_account != nullptr) {
    message.fields.push_back({this->dialect.account, call.account});
  }
  if (call.body == nullptr) {
    message.body = request.body;
  } else {
    message.streamed_bytes = call.body->size();
  }
  return message;
}

bool RequestRouter::IsSetByNode(const RoutedCall& call,
                                absl::string_view field) const {
  const HttpDialect& names = this->dialect;
  return absl::EqualsIgnoreCase(field, names.time_left_ms) ||
         absl::EqualsIgnoreCase(field, names.expected_instance) ||
         absl::EqualsIgnoreCase(field, names.origin_service) ||
         (call.routes->requires_key &&
          (absl::EqualsIgnoreCase(field, names.credentials) ||
           absl::EqualsIgnoreCase(field, names.account)));
}

void RequestRouter::ClearAttempt(RoutedCall& call) {
  call.is_attempt_pending = false;
  call.remote = recovery::OutboundAttempt();
  call.next_resume_at = absl::InfiniteFuture();
  call.partial_answer.reset();
  this->calls_by_attempt.erase(call.attempt_id);
  if (call.channel != nullptr) {
    if (call.body != nullptr) {
      this->body_sender.Stop(call.channel->number, call.attempt_id,
                             /*of_answer=*/false);
    }
    const auto found = this->attempts_by_channel.find(call.channel->number);
    if (found != this->attempts_by_channel.end() && --found->second == 0) {
      this->attempts_by_channel.erase(found);
    }
    call.channel = nullptr;
  }
}

void RequestRouter::OnAnswer(schema::HttpAnswer answer,
                             event::MemoryReservation reservation) {
  // The call of a cancelled attempt is gone or has a newer attempt.
  const auto found = this->calls_by_attempt.find(answer.call_id);
  if (found == this->calls_by_attempt.end()) {
    return;
  }
  RoutedCall& call = *this->calls.at(found->second);
  if (event::HasField(answer.fields, this->dialect.leaving) &&
      catalog::MarkLeaving(this->store.workers, call.instance, event::BootNow(),
                           absl::Now())) {
    this->log.LogState(telemetry::LogLine("entry", "worker_leaving")
                           .Add("instance", call.instance));
  }
  routing::OnCallEnded(this->loads, call.instance, answer.load,
                       IsWorkerFailure(answer) && answer.offered,
                       event::BootNow());
  routing::OnSpeedReport(this->loads, call.service, answer.load,
                         event::BootNow());
  this->ClearAttempt(call);
  this->OnAttemptEnded(call, answer, std::move(reservation));
}

void RequestRouter::OnAttemptEnded(RoutedCall& call,
                                   schema::HttpAnswer& answer,
                                   event::MemoryReservation reservation) {
  call.last_reason = answer.reason;
  call.worker_attempts += answer.offered ? 1 : 0;
  switch (answer.outcome) {
    case Outcome::kCompleted:
      if (this->IsRetryableFailure(call, answer) &&
          this->TryAcquireRetry(call)) {
        call.may_have_run = true;
        this->SendAttempt(call);
        return;
      }
      call.refusal.service = answer.refused_service;
      call.refusal.slot_time =
          absl::Microseconds(static_cast<int64_t>(answer.refused_slot_us));
      this->RecordUse(call, answer);
      if (!call.route->idempotent && StatesNotRun(answer.status)) {
        this->ReplyUnknown(call, 502);
        return;
      }
      this->ReplyCompleted(call, answer, std::move(reservation));
      return;
    case Outcome::kNotRun:
      this->OnNotRun(call, answer);
      return;
    case Outcome::kUnknown:
      call.may_have_run = true;
      if (this->TryAcquireRetry(call)) {
        this->SendAttempt(call);
        return;
      }
      this->ReplyUnknown(call, 502);
      return;
  }
}

// Another worker may succeed if the failure is local to this worker; after a
// failed nested call it would most likely fail as well.
bool RequestRouter::IsRetryableFailure(const RoutedCall& call,
                                       const schema::HttpAnswer& answer) const {
  return call.route->idempotent && !answer.nested_failed &&
         answer.status >= 500 && answer.status != 504;
}

void RequestRouter::RecordUse(const RoutedCall& call,
                              const schema::HttpAnswer& answer) {
  if (answer.use.empty()) {
    return;
  }
  if (call.nested) {
    this->local_worker.AddNestedUse(call.parent_id, answer.use);
    return;
  }
  if (IsWorkerFailure(answer)) {
    routing::OnPartialCostReport(this->root_limiter, call.route->name,
                                 answer.use);
    return;
  }
  routing::OnCostReport(this->root_limiter, call.route->name, answer.use);
}

void RequestRouter::OnNotRun(RoutedCall& call,
                             const schema::HttpAnswer& answer) {
  const absl::Time now = event::BootNow();
  call.retry_after =
      std::max(call.retry_after, absl::Microseconds(answer.retry_after_us));
  if (answer.reason == Reason::kQuarantined) {
    // Refused here from now on, also if the nodes of the service forget it.
    schema::RequestRejection rejection;
    rejection.service = call.service;
    rejection.fingerprint = this->FingerprintOf(call);
    rejection.crashes = answer.rejected_crashes;
    rejection.expiry_us = answer.rejected_for_us;
    this->quarantine.OnMessage(rejection, now);
    this->RefuseQuarantined(call);
    return;
  }
  if (answer.offered) {
    // The worker itself rejected the call, so another attempt uses the retry
    // budget.
    ++call.worker_rejections;
    if (this->TryAcquireRetry(call)) {
      this->SendAttempt(call);
      return;
    }
  } else {
    if (answer.reason == Reason::kWorkerLost ||
        answer.reason == Reason::kLeaving) {
      routing::OnUnreachable(this->loads, call.instance, now);
    } else if (answer.reason != Reason::kNoMemory) {
      // A node without memory for this body still accepts small ones.
      routing::OnWorkerFull(this->loads, call.instance, now);
    }
    if (++call.reroutes <= this->bounds.max_reroutes) {
      this->SendAttempt(call);
      return;
    }
    this->WaitOrRefuse(call);
    return;
  }
  if (call.may_have_run) {
    this->ReplyUnknown(call, 502);
    return;
  }
  this->ReplyNotRun(call);
}

bool RequestRouter::TryAcquireRetry(const RoutedCall& call) {
  const absl::Time now = event::BootNow();
  if (call.may_have_run && !call.route->idempotent) {
    return false;
  }
  // A rejected call did not run, so it does not count towards the route's limit
  // on workers.
  if (call.worker_attempts - call.worker_rejections >=
          call.route->max_workers ||
      call.worker_rejections > this->bounds.max_worker_rejections ||
      call.deadline - now < this->bounds.min_retry_time) {
    return false;
  }
  const uint32_t route_priority = call.routes->requires_key
                                      ? catalog::RoutePriorityOf(call.priority)
                                      : call.priority;
  const double part =
      route_priority == 0 ? 1.0 : this->bounds.low_priority_retry_fraction;
  return retry::TryTakeRetry(this->budgets[call.service],
                             this->BudgetSettings(), part,
                             retry::CountNodes(this->fleet), now);
}

retry::RetryBudgetSettings RequestRouter::BudgetSettings() const {
  retry::RetryBudgetSettings budget;
  budget.ratio = this->settings.retry_budget_ratio;
  budget.allowance = this->settings.retry_budget_allowance;
  budget.window = this->settings.retry_budget_window;
  budget.allowance_from = this->started + budget.window;
  return budget;
}

void RequestRouter::OnAttemptLost(RoutedCall& call, bool sent) {
  routing::OnCallLost(this->loads, call.instance);
  if (sent || !call.remote.is_resuming) {
    routing::OnUnreachable(this->loads, call.instance, event::BootNow());
  }
  schema::HttpAnswer lost;
  lost.outcome = sent ? Outcome::kUnknown : Outcome::kNotRun;
  lost.reason = Reason::kConnectionLost;
  lost.offered = sent;
  this->ClearAttempt(call);
  if (sent) {
    this->OnAttemptEnded(call, lost, event::MemoryReservation());
    return;
  }
  call.last_reason = lost.reason;
  if (++call.reroutes <= this->bounds.max_reroutes) {
    this->SendAttempt(call);
    return;
  }
  this->WaitOrRefuse(call);
}

}  // namespace boragepaddle::proxy
