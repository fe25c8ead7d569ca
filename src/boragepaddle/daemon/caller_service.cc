#include "boragepaddle/daemon/caller_service.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

using schema::Outcome;
using schema::Reason;
using transport::HttpCall;
using transport::HttpReply;

constexpr uint32_t kStatusBadRequest = 400;
constexpr uint32_t kStatusNotFound = 404;
constexpr uint32_t kStatusMethodNotAllowed = 405;
constexpr uint32_t kStatusTicketNeeded = 428;
constexpr uint32_t kStatusNotRun = 503;
constexpr uint32_t kStatusUnknown = 504;
constexpr int64_t kMaxDeadlineMs = 600000;
// Ids and tickets travel in every frame and log line.
constexpr size_t kMaxRequestIdLength = 128;
constexpr size_t kMaxTicketLength = 512;

/// Deadline that the caller asks for; the rule's deadline if it names none.
absl::optional<absl::Duration> RequestedDeadline(const HttpCall& http,
                                                 absl::Duration fallback) {
  const std::string text = http.header("Boragepaddle-Deadline-Ms");
  if (text.empty()) {
    return fallback;
  }
  int64_t milliseconds = 0;
  if (!absl::SimpleAtoi(text, &milliseconds) || milliseconds <= 0 ||
      milliseconds > kMaxDeadlineMs) {
    return absl::nullopt;
  }
  return absl::Milliseconds(milliseconds);
}

// A caller on a kept connection learns from a refusal that it must go to
// another node. The process ends only when no caller has asked for this time,
// because a request that arrives at the end of the process would be lost.
constexpr absl::Duration kQuietBeforeEnd = absl::Milliseconds(250);
// Callers that ignore the refusals must not hold up the stop.
constexpr absl::Duration kLongestLinger = absl::Seconds(3);

bool HasValidIds(const HttpCall& http) {
  return http.header("Boragepaddle-Request-Id").size() <= kMaxRequestIdLength &&
         http.header("Boragepaddle-Ticket").size() <= kMaxTicketLength;
}

uint32_t StatusOf(const node::FinishCall& finish) {
  switch (finish.outcome) {
    case Outcome::kCompleted:
      return finish.status;
    case Outcome::kNotRun:
      if (finish.reason == Reason::kTicketNeeded) {
        return kStatusTicketNeeded;
      }
      return kStatusNotRun;
    case Outcome::kUnknown:
      return kStatusUnknown;
  }
  return kStatusUnknown;
}

}  // namespace

CallerService::CallerService(RuleBook& rules,
                             RequestContexts& contexts,
                             EgressClient& egress,
                             metrics::CallMetrics& metrics)
    : rules(rules), contexts(contexts), egress(egress), metrics(metrics) {}

void CallerService::StartLeaving() {
  absl::MutexLock lock(&this->mutex);
  this->leaving_since = transport::MonotonicNow();
}

bool CallerService::IsLeaving() {
  absl::MutexLock lock(&this->mutex);
  if (this->leaving_since == absl::InfiniteFuture()) {
    return false;
  }
  this->last_refused = transport::MonotonicNow();
  return true;
}

bool CallerService::IsDrained() {
  absl::MutexLock lock(&this->mutex);
  const absl::Time now = transport::MonotonicNow();
  const absl::Time last = std::max(this->leaving_since, this->last_refused);
  const bool quiet = now - last >= kQuietBeforeEnd ||
                     now - this->leaving_since >= kLongestLinger;
  return quiet && this->active_calls == 0;
}

HttpReply CallerService::FromCaller(const HttpCall& http) {
  if (this->IsLeaving()) {
    HttpReply reply = RefusalReply(http, Reason::kLeaving, kStatusNotRun);
    reply.headers.push_back(
        {"Boragepaddle-Request-Id", http.header("Boragepaddle-Request-Id")});
    reply.close_connection = true;
    return reply;
  }
  if (http.method != "POST") {
    return RefusalReply(http, Reason::kBadRequest, kStatusMethodNotAllowed);
  }
  auto target = this->Resolve(http);
  if (!target) {
    return RefusalReply(http, Reason::kUnknownService, kStatusNotFound);
  }
  return this->RunRoot(http, std::move(*target), /*trusted=*/true);
}

HttpReply CallerService::FromWorker(const HttpCall& http) {
  if (http.method != "POST") {
    return RefusalReply(http, Reason::kBadRequest, kStatusMethodNotAllowed);
  }
  auto target = this->Resolve(http);
  if (!target) {
    return RefusalReply(http, Reason::kUnknownService, kStatusNotFound);
  }
  const std::string context_id = http.header("Boragepaddle-Context");
  const auto context = this->contexts.BeginChild(context_id);
  if (!context) {
    // A new root without retry tokens in the lowest class, so that a worker
    // gains nothing by dropping or forging the header.
    return this->RunRoot(http, std::move(*target), /*trusted=*/false);
  }
  node::EgressCall call;
  call.service = std::move(target->service);
  call.operation = std::move(target->operation);
  call.rule = target->rule;
  call.body = http.body;
  call.child = true;
  call.depth = context->child_depth;
  call.request_id = context->request_id;
  call.call_class = context->call_class;
  call.tokens = context->tokens;
  call.deadline = context->deadline;
  const uint32_t delegated = call.tokens.remaining;
  node::FinishCall finish = this->Run(std::move(call), http);
  this->contexts.EndChild(context_id, delegated, finish.tokens_left,
                          finish.refused);
  return ToReply(std::move(finish), context->request_id);
}

HttpReply CallerService::RunRoot(const HttpCall& http,
                                 Target target,
                                 bool trusted) {
  const auto deadline = RequestedDeadline(http, target.rule.deadline);
  if (!deadline || !HasValidIds(http)) {
    return RefusalReply(http, Reason::kBadRequest, kStatusBadRequest);
  }
  node::EgressCall call;
  call.request_id = http.header("Boragepaddle-Request-Id");
  if (call.request_id.empty()) {
    call.request_id = RandomId();
  }
  call.service = std::move(target.service);
  call.operation = std::move(target.operation);
  call.rule = target.rule;
  call.call_class = trusted ? target.rule.call_class : schema::CallClass::kBulk;
  call.tokens.remaining = trusted ? target.rule.retry_tokens : 0;
  call.deadline = transport::MonotonicNow() + *deadline;
  if (call.rule.at_most_once) {
    call.ticket = http.header("Boragepaddle-Ticket");
  }
  call.body = http.body;
  const std::string request_id = call.request_id;
  return ToReply(this->Run(std::move(call), http), request_id);
}

absl::optional<CallerService::Target> CallerService::Resolve(
    const HttpCall& http) {
  const std::vector<std::string> parts = absl::StrSplit(http.path, '/');
  if (parts.size() != 4 || !parts[0].empty() || parts[1] != "call") {
    return absl::nullopt;
  }
  const auto rule = this->rules.Find(parts[2], parts[3]);
  if (!rule) {
    return absl::nullopt;
  }
  return Target{parts[2], parts[3], *rule};
}

node::FinishCall CallerService::Run(node::EgressCall call,
                                    const HttpCall& http) {
  ++this->active_calls;
  const std::string service = call.service;
  metrics::CallSample sample;
  sample.call_class = call.call_class;
  const absl::Time begin = transport::MonotonicNow();
  node::FinishCall finish = this->egress.Call(std::move(call), http.connected);
  sample.latency = transport::MonotonicNow() - begin;
  sample.outcome = finish.outcome;
  sample.reason = finish.reason;
  this->metrics.Record(service, sample);
  --this->active_calls;
  return finish;
}

HttpReply ToReply(node::FinishCall finish, absl::string_view request_id) {
  HttpReply reply;
  reply.headers = {
      {"Boragepaddle-Outcome", std::string(schema::ToString(finish.outcome))},
      {"Boragepaddle-Reason", std::string(schema::ToString(finish.reason))},
      {"Boragepaddle-Request-Id", std::string(request_id)}};
  reply.content_type = "text/plain";
  reply.status = StatusOf(finish);
  if (finish.outcome == Outcome::kCompleted) {
    reply.content_type = std::move(finish.content_type);
    reply.body = std::move(finish.body);
  }
  if (!finish.ticket.empty()) {
    reply.headers.push_back({"Boragepaddle-Ticket", std::move(finish.ticket)});
  }
  return reply;
}

HttpReply RefusalReply(const HttpCall& http, Reason reason, uint32_t status) {
  // An earlier send with the same ticket may have run.
  const bool has_ticket = !http.header("Boragepaddle-Ticket").empty();
  const Outcome outcome = has_ticket ? Outcome::kUnknown : Outcome::kNotRun;
  HttpReply reply;
  reply.status = has_ticket ? kStatusUnknown : status;
  reply.content_type = "text/plain";
  reply.headers = {{"Boragepaddle-Outcome", std::string(ToString(outcome))},
                   {"Boragepaddle-Reason", std::string(ToString(reason))}};
  return reply;
}

}  // namespace boragepaddle::daemon
