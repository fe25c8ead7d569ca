#include "boragepaddle/proxy/request_router.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::proxy {

namespace {

using schema::Reason;

/// Time limit for a client that sets none.
constexpr absl::Duration kDefaultTimeLeft = absl::Seconds(30);

absl::Duration TimeLeft(const event::HttpRequest& request,
                        const HttpDialect& dialect) {
  int64_t ms = 0;
  if (!absl::SimpleAtoi(event::FieldValue(request.fields, dialect.time_left_ms),
                        &ms) ||
      ms < 0) {
    return kDefaultTimeLeft;
  }
  return absl::Milliseconds(ms);
}

/// Key of the client account in the credentials; empty if there is none.
absl::string_view KeyOf(const std::vector<schema::HttpField>& fields,
                        const HttpDialect& dialect) {
  const absl::string_view value =
      event::FieldValue(fields, dialect.credentials);
  const size_t space = value.find(' ');
  if (space == absl::string_view::npos ||
      !absl::EqualsIgnoreCase(value.substr(0, space),
                              dialect.credentials_scheme)) {
    return {};
  }
  return absl::StripAsciiWhitespace(value.substr(space));
}

}  // namespace

RequestRouter::RequestRouter(boost::asio::io_context& loop,
                             const NodeSettings& settings,
                             const HttpDialect& dialect,
                             StoreState& store,
                             const ShutdownState& shutdown,
                             WorkerProxy& local_worker,
                             RequestQuarantine& quarantine,
                             PeerNetwork& peers,
                             AccountLimiter& account_limiter,
                             event::BodySender& body_sender,
                             event::MemoryBudget& memory,
                             telemetry::EventLog& log,
                             telemetry::RequestMetrics& metrics)
    : loop(loop),
      settings(settings),
      bounds(),
      dialect(dialect),
      store(store),
      shutdown(shutdown),
      local_worker(local_worker),
      quarantine(quarantine),
      peers(peers),
      account_limiter(account_limiter),
      body_sender(body_sender),
      memory(memory),
      log(log),
      metrics(metrics),
      random(std::random_device()()),
      started(event::BootNow()) {
  this->account_limiter.SetCallback(
      [this](uint64_t id, const limits::CreditVerdict& verdict) {
        this->OnCreditVerdict(id, verdict);
      });
}

void RequestRouter::OnRequest(
    const std::shared_ptr<event::HttpExchange>& exchange) {
  const event::HttpRequest& request = exchange->request();
  if (this->store.routes == nullptr) {
    this->RejectUnrouted(exchange, 503, "no_configuration");
    return;
  }
  const absl::string_view id =
      event::FieldValue(request.fields, this->dialect.request_id);
  if (id.empty()) {
    this->RejectUnrouted(exchange, 400, "no_request_id");
    return;
  }
  const catalog::Route* route =
      catalog::FindRoute(*this->store.routes, request.host, request.target);
  if (route == nullptr) {
    this->RejectUnrouted(exchange, 404, "no_route");
    return;
  }
  auto new_call = std::make_unique<RoutedCall>();
  RoutedCall& call = *new_call;
  call.id = this->next_id++;
  call.exchange = exchange;
  call.routes = this->store.routes;
  call.route = route;
  call.request_id = std::string(id);
  call.arrived = request.received;
  call.deadline =
      call.arrived + std::min(TimeLeft(request, this->dialect), route->timeout);
  const size_t target =
      routing::NextTarget(this->splits[route->name], route->targets);
  call.service = route->targets[target].service;
  this->InheritFromParent(call);
  if (!this->Authenticate(call)) {
    return;
  }
  if (request.body.size() > event::kMaxWholeBodyBytes) {
    call.body = exchange->TakeBody();
  }
  this->calls[call.id] = std::move(new_call);
  retry::CountRequest(this->budgets[call.service], this->BudgetSettings(),
                      call.arrived);
  exchange->SetOnClientDisconnect(
      [this, call_id = call.id] { this->OnClientDisconnected(call_id); });
  this->TakeCredit(call);
}

bool RequestRouter::MayRunAhead(const event::HttpRequest& request) const {
  if (this->store.routes == nullptr) {
    return false;
  }
  const absl::string_view id =
      event::FieldValue(request.fields, this->dialect.request_id);
  if (id.empty() || !this->dialect.parent_id(id).empty()) {
    return false;
  }
  const catalog::Route* route =
      catalog::FindRoute(*this->store.routes, request.host, request.target);
  return route != nullptr && route->idempotent;
}

void RequestRouter::AdmitAndSend(RoutedCall& call) {
  if (call.nested ? this->AdmitNested(call)
                  : call.admitted || this->AdmitRoot(call)) {
    this->SendAttempt(call);
    return;
  }
  if (this->shutdown.refuses_roots && !call.nested) {
    // The process is about to end, so waiting is pointless.
    this->ReplyNotRun(call);
    return;
  }
  this->WaitOrRefuse(call);
}

void RequestRouter::InheritFromParent(RoutedCall& call) {
  const absl::string_view parent = this->dialect.parent_id(call.request_id);
  const auto running_parent =
      parent.empty() ? absl::nullopt : this->local_worker.FindRunning(parent);
  if (!running_parent) {
    call.priority = call.route->priority;
    call.wants_use =
        routing::NeedsCostSample(this->root_limiter, call.route->name);
    return;
  }
  call.nested = true;
  call.parent_id = std::string(parent);
  call.account = running_parent->account;
  call.priority = running_parent->priority;
  call.parent_is_retry = running_parent->repeat;
  call.wants_use = running_parent->wants_use;
  call.deadline = std::min(call.deadline, running_parent->deadline);
}

bool RequestRouter::Authenticate(RoutedCall& call) {
  if (!call.routes->requires_key || call.nested) {
    return true;
  }
  const absl::string_view key =
      KeyOf(call.exchange->request().fields, this->dialect);
  call.client_account = catalog::FindAccount(*call.routes, key);
  call.priority = catalog::CombinedPriority(call.client_account == nullptr
                                                ? absl::nullopt
                                                : call.client_account->priority,
                                            call.route->priority);
  if (call.client_account != nullptr) {
    call.account = call.client_account->name;
    return true;
  }
  if (call.route->is_public) {
    return true;
  }
  if (key.empty() && !this->dialect.parent_id(call.request_id).empty()) {
    // A call of the worker for a request that this process does not know, such
    // as after a restart of the node. Nobody waits for the result of that
    // request.
    this->RejectUnrouted(call.exchange, 503, "parent_not_running");
    return false;
  }
  this->RejectUnrouted(call.exchange, 401,
                       key.empty() ? "no_key" : "unknown_key");
  return false;
}

size_t RequestRouter::RootRequestsInFlight() const {
  return static_cast<size_t>(absl::c_count_if(
      this->calls, [](const auto& call) { return !call.second->nested; }));
}

// A retried request repeats all of its calls, possibly many to one service, so
// they are limited by the budget of the service that is called.
bool RequestRouter::AdmitNested(RoutedCall& call) {
  if (!call.parent_is_retry || call.admitted_in_budget) {
    return true;
  }
  call.admitted_in_budget = retry::TryTakeRetry(
      this->budgets[call.service], this->BudgetSettings(),
      /*part=*/1, retry::CountNodes(this->fleet), event::BootNow());
  if (!call.admitted_in_budget) {
    call.last_reason = Reason::kRetryBudget;
  }
  return call.admitted_in_budget;
}

bool RequestRouter::AdmitRoot(RoutedCall& call) {
  if (this->shutdown.refuses_roots) {
    call.last_reason = Reason::kLeaving;
    return false;
  }
  const absl::Time now = event::BootNow();
  const routing::RootDecision decision = routing::DecideRoot(
      this->root_limiter, this->store.workers,
      {call.route->name, call.service, call.priority, now, call.account,
       /*asked_before=*/!call.limiting_service.empty()});
  if (decision.limiting_service.empty()) {
    call.admitted = true;
    call.admitted_at = now;
    return true;
  }
  call.last_reason = Reason::kRefusedBelow;
  call.limiting_service = decision.limiting_service;
  call.over_fair_share = decision.over_fair_share;
  return false;
}

void RequestRouter::RejectUnrouted(
    const std::shared_ptr<event::HttpExchange>& exchange,
    uint32_t status,
    absl::string_view why) {
  const event::HttpRequest& request = exchange->request();
  event::HttpReply reply;
  reply.status = status;
  if (status == 503) {
    reply.fields.push_back(
        {this->dialect.retry_after,
         absl::StrFormat("%.3f",
                         absl::ToDoubleSeconds(this->bounds.min_retry_after))});
  } else if (status == 401) {
    reply.fields.push_back(
        {"WWW-Authenticate", this->dialect.credentials_scheme});
  }
  this->log.LogFailedRequest(
      telemetry::LogLine("entry", "answered")
          .Add("request",
               event::FieldValue(request.fields, this->dialect.request_id))
          .Add("status", status)
          .Add("why", why)
          .Add("host", request.host)
          .Add("target", request.target)
          .Add("config", this->store.routes == nullptr
                             ? "none"
                             : this->store.routes->version),
      event::BootNow());
  exchange->Reply(std::move(reply));
}

void RequestRouter::OnLoadNotice(absl::string_view host,
                                 const schema::LoadNotice& notice) {
  const absl::Time now = event::BootNow();
  routing::OnAdmissionRateReport(this->root_limiter, notice.service, host,
                                 notice.load, now);
  routing::OnSpeedReport(this->loads, notice.service, notice.load, now);
  for (const auto& [instance, entry] : this->store.workers.entries) {
    if (entry.host == host && entry.service == notice.service) {
      routing::OnLoadNotice(this->loads, instance, notice, now);
    }
  }
}

void RequestRouter::OnDirectoryChanged() {
  routing::RemoveUnlistedWorkers(this->loads, this->store.workers);
  retry::OnDirectoryChanged(this->fleet, this->store.workers, event::BootNow());
}

}  // namespace boragepaddle::proxy
