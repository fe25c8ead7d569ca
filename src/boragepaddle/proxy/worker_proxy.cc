#include "boragepaddle/proxy/worker_proxy.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/quarantine/request_fingerprint.h"

namespace boragepaddle::proxy {

namespace {

using schema::Outcome;
using schema::Reason;

/// Slots assumed for a worker that is not listed.
constexpr uint32_t kDefaultSlots = 16;

/// A call with less time left is not sent to the worker.
constexpr absl::Duration kMinTimeLeft = absl::Milliseconds(5);

uint64_t FingerprintOf(const schema::HttpCall& call,
                       const event::SharedBody& body) {
  quarantine::RequestIdentity request;
  request.service = call.service;
  request.method = call.method;
  request.authority = event::FieldValue(call.fields, "Host");
  request.target = call.target;
  request.origin_service = call.origin_service;
  request.body = body == nullptr ? call.body : *body;
  return quarantine::Fingerprint(request);
}

Outcome OutcomeOf(event::WorkerOutcome end) {
  switch (end) {
    case event::WorkerOutcome::kAnswered:
      return Outcome::kCompleted;
    case event::WorkerOutcome::kNotRun:
    case event::WorkerOutcome::kNotSent:
      return Outcome::kNotRun;
    case event::WorkerOutcome::kConnectionLost:
    case event::WorkerOutcome::kInvalidResponse:
    case event::WorkerOutcome::kNoMemory:
    case event::WorkerOutcome::kCancelled:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

Reason ReasonOf(event::WorkerOutcome end) {
  switch (end) {
    case event::WorkerOutcome::kAnswered:
      return Reason::kNone;
    case event::WorkerOutcome::kNotRun:
      return Reason::kOverloaded;
    case event::WorkerOutcome::kNotSent:
    case event::WorkerOutcome::kConnectionLost:
    case event::WorkerOutcome::kInvalidResponse:
      return Reason::kWorkerLost;
    case event::WorkerOutcome::kNoMemory:
      return Reason::kNoMemory;
    case event::WorkerOutcome::kCancelled:
      return Reason::kCancelled;
  }
  return Reason::kWorkerLost;
}

}  // namespace

WorkerProxy::WorkerProxy(const NodeSettings& settings,
                         const HttpDialect& dialect,
                         StoreState& store,
                         const ShutdownState& shutdown,
                         event::WorkerConnectionPool& pool,
                         telemetry::EventLog& log,
                         telemetry::RequestMetrics& metrics,
                         RequestQuarantine& quarantine)
    : settings(settings),
      dialect(dialect),
      store(store),
      shutdown(shutdown),
      pool(pool),
      log(log),
      metrics(metrics),
      quarantine(quarantine),
      limiter(
          admission::MakeWorkerLimiter(admission::WorkerLimiterSettings())) {
  this->pool.SetOnIdleClosed([this] {
    quarantine::OnConnectionEnded(this->crash_detector, event::BootNow());
  });
  this->OnDirectoryChanged();
}

const catalog::WorkerEntry* WorkerProxy::LocalWorker() const {
  return catalog::FindByAddress(this->store.workers,
                                this->settings.worker_address);
}

void WorkerProxy::OnDirectoryChanged() {
  const catalog::WorkerEntry* worker = this->LocalWorker();
  this->limiter.slots = worker == nullptr ? kDefaultSlots : worker->slots;
  if (worker != nullptr && worker->instance != this->rate_limited_instance) {
    this->rate_limited_instance = worker->instance;
    this->has_answered = false;
    this->SetRateLimit(0, event::BootNow());
    admission::ForgetWorkerLoad(
        this->limiter, absl::Now() - absl::FromUnixMillis(worker->started_ms),
        event::BootNow());
  }
  if (worker != nullptr) {
    this->RecordWorkerStart(*worker);
  }
  const bool is_unlisted =
      worker == nullptr && !this->store.workers.entries.empty();
  if (!is_unlisted && (worker == nullptr || !catalog::IsLeaving(*worker))) {
    return;
  }
  for (const uint64_t id : admission::RefuseQueued(this->limiter)) {
    this->Refuse(id, Reason::kLeaving);
  }
}

std::string WorkerProxy::RouteOf(const schema::HttpCall& call) const {
  if (this->store.routes == nullptr) {
    return "";
  }
  const catalog::Route* route = catalog::FindRoute(
      *this->store.routes, event::FieldValue(call.fields, "Host"), call.target);
  return route == nullptr ? "" : route->name;
}

bool WorkerProxy::OutlastsProcess(const Call& call, absl::Time now) const {
  if (!this->shutdown.refuses_roots) {
    return false;
  }
  CallTimeBounds bounds;
  bounds.limit = call.deadline - now;
  bounds.longest_recent = admission::LongestCallTime(
      this->route_times, call.route, call.message.service, now);
  return !FitsBeforeEnd(this->shutdown, bounds, now);
}

Reason WorkerProxy::CheckCall(const Call& call, absl::Time now) const {
  if (this->shutdown.refuses_calls || this->OutlastsProcess(call, now)) {
    return Reason::kLeaving;
  }
  if (this->quarantine.IsRejected(call.fingerprint, now)) {
    return Reason::kQuarantined;
  }
  if (this->crash_detector.is_worker_down) {
    // The call would break without having run, and nobody could tell.
    return Reason::kWorkerLost;
  }
  const catalog::WorkerEntry* worker = this->LocalWorker();
  if (worker == nullptr) {
    // Without a list of workers, the node relies on the list of the sender; the
    // worker refuses a call for another instance.
    return this->store.workers.entries.empty() ? Reason::kNone
                                               : Reason::kNoUpstream;
  }
  if (catalog::IsLeaving(*worker)) {
    return Reason::kLeaving;
  }
  const bool is_same_instance = worker->instance == call.message.instance &&
                                worker->service == call.message.service;
  return is_same_instance ? Reason::kNone : Reason::kIncarnationGone;
}

uint64_t WorkerProxy::Handle(schema::HttpCall message,
                             event::SharedBody body,
                             Reply reply) {
  const absl::Time now = event::BootNow();
  const uint64_t id = this->next_id++;
  Call& call = this->calls[id];
  call.message = std::move(message);
  call.body = std::move(body);
  call.fingerprint = FingerprintOf(call.message, call.body);
  call.route = this->RouteOf(call.message);
  call.reply = std::move(reply);
  call.arrived = now;
  call.deadline = now + absl::Microseconds(call.message.time_left_us);
  const Reason refusal = this->CheckCall(call, now);
  if (refusal != Reason::kNone) {
    this->Refuse(id, refusal);
    return id;
  }
  if (!this->has_answered && call.message.rate_limit > 0) {
    this->SetRateLimit(call.message.rate_limit, now);
  }
  this->admission_rate_input.arrivals += call.message.repeat ? 0 : 1;
  admission::SlotRequest slot_request;
  slot_request.id = id;
  slot_request.priority = call.message.priority;
  slot_request.nested = call.message.nested;
  slot_request.objective = absl::Microseconds(call.message.objective_us);
  slot_request.give_up_at = call.deadline;
  slot_request.account = call.message.account;
  this->ApplyDecisions(
      admission::OnSlotRequest(this->limiter, slot_request, now), now);
  return id;
}

void WorkerProxy::ApplyDecisions(const admission::SlotDecisions& actions,
                                 absl::Time now) {
  if (actions.refused_by_share) {
    this->calls.at(actions.refuse.front()).over_fair_share = true;
  }
  for (const uint64_t id : actions.refuse) {
    this->Refuse(id, Reason::kOverloaded);
  }
  for (const uint64_t id : actions.too_late) {
    this->Refuse(id, Reason::kDeadline);
  }
  for (const uint64_t id : actions.start) {
    this->StartCall(id, now);
  }
}

void WorkerProxy::StartCall(uint64_t id, absl::Time now) {
  Call& call = this->calls.at(id);
  if (call.deadline - now < kMinTimeLeft) {
    this->ApplyDecisions(
        admission::OnSlotReleased(this->limiter, id, /*completed=*/false, now),
        now);
    this->Refuse(id, Reason::kDeadline);
    return;
  }
  call.started = true;
  call.started_at = now;
  this->running[call.message.request_id] = id;
  this->pool.Send(id, this->MakeRequest(call, now),
                  [this, id](event::WorkerResult result) {
                    this->OnResult(id, std::move(result));
                  });
}

event::WorkerRequest WorkerProxy::MakeRequest(Call& call,
                                              absl::Time now) const {
  event::WorkerRequest request;
  schema::HttpCall& message = call.message;
  request.request_id = message.request_id;
  request.method = message.method;
  request.target = message.target;
  for (schema::HttpField& field : message.fields) {
    if (absl::EqualsIgnoreCase(field.name, "Host")) {
      request.host = std::move(field.value);
      continue;
    }
    request.fields.push_back(std::move(field));
  }
  request.fields.push_back(
      {this->dialect.time_left_ms,
       absl::StrCat(absl::ToInt64Milliseconds(call.deadline - now))});
  request.fields.push_back({this->dialect.expected_instance, message.instance});
  request.fields.push_back(
      {this->dialect.origin_service, message.origin_service});
  request.body = std::move(message.body);
  request.shared_body = std::move(call.body);
  return request;
}

void WorkerProxy::OnResult(uint64_t id, event::WorkerResult result) {
  const absl::Time now = event::BootNow();
  const auto found = this->calls.find(id);
  if (found != this->calls.end()) {
    found->second.worker_outcome = result.outcome;
    this->RecordCallEnd(found->second.fingerprint, result.outcome, now);
    this->ApplyWorkerFields(found->second, result, now);
    this->RecordCallTime(found->second, result, now);
  }
  const bool completed = result.outcome == event::WorkerOutcome::kAnswered;
  this->ApplyDecisions(
      admission::OnSlotReleased(this->limiter, id, completed, now), now);
  this->admission_rate_input.offered +=
      result.outcome != event::WorkerOutcome::kNotSent;
  this->admission_rate_input.rejected +=
      result.outcome == event::WorkerOutcome::kNotRun;
  schema::HttpAnswer answer;
  answer.outcome = OutcomeOf(result.outcome);
  answer.reason = ReasonOf(result.outcome);
  answer.offered = result.outcome != event::WorkerOutcome::kNotSent;
  answer.status = result.status;
  answer.fields = std::move(result.fields);
  answer.body = std::move(result.body);
  this->AttachUse(id, answer, now);
  this->Finish(id, std::move(answer), std::move(result.reservation));
}

void WorkerProxy::AttachUse(uint64_t id,
                            schema::HttpAnswer& answer,
                            absl::Time now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end() || !found->second.message.wants_use ||
      answer.outcome != Outcome::kCompleted) {
    return;
  }
  Call& call = found->second;
  answer.use = std::move(call.nested_use);
  answer.use.push_back({call.message.service,
                        static_cast<uint64_t>(
                            absl::ToInt64Microseconds(now - call.started_at))});
}

absl::optional<ParentCall> WorkerProxy::FindRunning(
    absl::string_view request_id) const {
  const auto found = this->running.find(request_id);
  if (found == this->running.end()) {
    return absl::nullopt;
  }
  const Call& call = this->calls.at(found->second);
  ParentCall parent;
  parent.priority = call.message.priority;
  parent.account = call.message.account;
  parent.repeat = call.message.repeat;
  parent.wants_use = call.message.wants_use;
  parent.deadline = call.deadline;
  return parent;
}

void WorkerProxy::RecordNestedFailure(absl::string_view request_id,
                                      const CapacityRefusal& refusal) {
  const auto found = this->running.find(request_id);
  if (found == this->running.end()) {
    return;
  }
  Call& call = this->calls.at(found->second);
  call.nested_failed = true;
  if (!refusal.service.empty()) {
    call.refusal = refusal;
  }
}

void WorkerProxy::AddNestedUse(absl::string_view request_id,
                               absl::Span<const schema::ServiceUse> use) {
  const auto found = this->running.find(request_id);
  if (found == this->running.end()) {
    return;
  }
  std::vector<schema::ServiceUse>& total =
      this->calls.at(found->second).nested_use;
  for (const schema::ServiceUse& service_use : use) {
    const auto found_use = std::find_if(
        total.begin(), total.end(),
        [&](auto& other) { return other.service == service_use.service; });
    if (found_use == total.end()) {
      total.push_back(service_use);
    } else {
      found_use->slot_us += service_use.slot_us;
    }
  }
}

void WorkerProxy::Refuse(uint64_t id, Reason reason) {
  schema::HttpAnswer answer;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  const auto found = this->calls.find(id);
  if (reason == Reason::kQuarantined && found != this->calls.end()) {
    const schema::RequestRejection rejection = this->quarantine.RejectionOf(
        found->second.fingerprint, event::BootNow());
    answer.rejected_crashes = rejection.crashes;
    answer.rejected_for_us = rejection.expiry_us;
  }
  if (reason == Reason::kOverloaded && found != this->calls.end()) {
    const schema::HttpCall& call = found->second.message;
    answer.retry_after_us = absl::ToInt64Microseconds(std::min(
        absl::Seconds(5),
        admission::ExpectedWait(this->limiter, call.priority, call.nested)));
  }
  this->Finish(id, std::move(answer), event::MemoryReservation());
}

void WorkerProxy::Finish(uint64_t id,
                         schema::HttpAnswer answer,
                         event::MemoryReservation reservation) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  Call call = std::move(found->second);
  this->calls.erase(found);
  const auto running_entry = this->running.find(call.message.request_id);
  if (running_entry != this->running.end() && running_entry->second == id) {
    this->running.erase(running_entry);
  }
  answer.call_id = call.message.call_id;
  answer.nested_failed = call.nested_failed;
  answer.refused_service = std::move(call.refusal.service);
  answer.refused_slot_us =
      static_cast<uint64_t>(absl::ToInt64Microseconds(call.refusal.slot_time));
  answer.load = this->CurrentLoad();
  this->LogAnswer(call, answer);
  if (!call.cancelled) {
    call.reply(std::move(answer), std::move(reservation));
  }
}

void WorkerProxy::Cancel(uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  found->second.cancelled = true;
  if (admission::CancelSlotRequest(this->limiter, id)) {
    this->Refuse(id, Reason::kSenderGone);
    return;
  }
  // A request that is not idempotent runs to its end: its client may have
  // disconnected, but its effect is wanted.
  if (found->second.message.repeatable ||
      event::BootNow() >= found->second.deadline) {
    this->pool.Cancel(id);
  }
}

void WorkerProxy::OnProcessPause() {
  for (const uint64_t id : admission::RefuseQueued(this->limiter)) {
    this->Refuse(id, Reason::kPaused);
  }
}

void WorkerProxy::Tick(absl::Time now) {
  this->TickCrashCheck(now);
  this->ApplyDecisions(admission::OnLimiterTick(this->limiter, now), now);
  this->admission_rate_input.queued =
      static_cast<uint32_t>(this->limiter.queue.size());
  this->admission_rate_input.limit = admission::ConcurrencyLimit(this->limiter);
  this->admission_rate_input.mean_time = this->limiter.mean_time;
  this->admission_rate_input.max_rate = this->limiter.max_rate;
  admission::UpdateAdmissionRate(this->admission_rate,
                                 this->admission_rate_input, now);
  this->admission_rate_input = admission::AdmissionRateInput();
}

}  // namespace boragepaddle::proxy
