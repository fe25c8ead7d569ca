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
constexpr uint32_t kStatusNotRun = 503;
constexpr uint32_t kStatusUnknown = 504;
constexpr int64_t kMaxDeadlineMs = 600000;

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

}  // namespace

CallerService::CallerService(RuleBook& rules,
                             RequestContexts& contexts,
                             EgressClient& egress,
                             metrics::CallMetrics& metrics)
    : rules(rules), contexts(contexts), egress(egress), metrics(metrics) {}

HttpReply CallerService::FromCaller(const HttpCall& http) {
  auto target = this->Resolve(http);
  if (!target) {
    return NotRunReply(Reason::kUnknownService, kStatusNotFound);
  }
  const auto deadline = RequestedDeadline(http, target->rule.deadline);
  if (!deadline) {
    return NotRunReply(Reason::kBadRequest, kStatusBadRequest);
  }
  node::EgressCall call;
  call.request_id = http.header("Boragepaddle-Request-Id");
  if (call.request_id.empty()) {
    call.request_id = RandomId();
  }
  call.service = std::move(target->service);
  call.operation = std::move(target->operation);
  call.rule = target->rule;
  call.call_class = target->rule.call_class;
  call.tokens.left = target->rule.retry_tokens;
  call.deadline = transport::MonotonicNow() + *deadline;
  call.ticket = http.header("Boragepaddle-Ticket");
  call.body = http.body;
  const std::string request_id = call.request_id;
  return ToReply(this->Run(std::move(call), http), request_id);
}

HttpReply CallerService::FromWorker(const HttpCall& http) {
  auto target = this->Resolve(http);
  if (!target) {
    return NotRunReply(Reason::kUnknownService, kStatusNotFound);
  }
  const std::string context_id = http.header("Boragepaddle-Context");
  const auto context = this->contexts.BeginChild(context_id);
  node::EgressCall call;
  call.service = std::move(target->service);
  call.operation = std::move(target->operation);
  call.rule = target->rule;
  call.body = http.body;
  if (context) {
    call.child = true;
    call.depth = context->child_depth;
    call.request_id = context->request_id;
    call.call_class = context->call_class;
    call.tokens = context->tokens;
    call.deadline = context->deadline;
  } else {
    // A new root without retry tokens in the lowest class, so that a worker
    // gains nothing by dropping or forging the header.
    call.request_id = RandomId();
    call.call_class = schema::CallClass::kBulk;
    call.deadline = transport::MonotonicNow() + target->rule.deadline;
  }
  const uint32_t delegated = call.tokens.left;
  const std::string request_id = call.request_id;
  node::FinishCall finish = this->Run(std::move(call), http);
  if (context) {
    this->contexts.EndChild(context_id, delegated, finish.tokens_left);
  }
  return ToReply(std::move(finish), request_id);
}

absl::optional<CallerService::Target> CallerService::Resolve(
    const HttpCall& http) {
  const std::vector<std::string> parts = absl::StrSplit(http.path, '/');
  if (http.method != "POST" || parts.size() != 4 || !parts[0].empty() ||
      parts[1] != "call") {
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
  switch (finish.outcome) {
    case Outcome::kCompleted:
      reply.status = finish.status;
      reply.content_type = std::move(finish.content_type);
      reply.body = std::move(finish.body);
      break;
    case Outcome::kNotRun:
      reply.status = kStatusNotRun;
      break;
    case Outcome::kUnknown:
      reply.status = kStatusUnknown;
      break;
  }
  return reply;
}

HttpReply NotRunReply(Reason reason, uint32_t status) {
  HttpReply reply;
  reply.status = status;
  reply.content_type = "text/plain";
  reply.headers = {
      {"Boragepaddle-Outcome", std::string(ToString(Outcome::kNotRun))},
      {"Boragepaddle-Reason", std::string(ToString(reason))}};
  return reply;
}

}  // namespace boragepaddle::daemon
