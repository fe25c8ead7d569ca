#include "boragepaddle/daemon/ingress_server.h"

#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

using transport::MonotonicNow;

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);

node::IngressSettings ToIngressSettings(const schema::NodeSettings& settings,
                                        uint64_t incarnation) {
  node::IngressSettings result;
  result.incarnation = incarnation;
  result.slots = settings.slots;
  return result;
}

/// Tells the sender that a call below was refused, so that its entry can
/// refuse such requests before work is done.
void MarkRefusedBelow(node::CallKey key,
                      bool refused_below,
                      node::IngressActions& actions) {
  for (node::IngressAction& action : actions) {
    auto* answer = std::get_if<node::AnswerCall>(&action);
    if (answer != nullptr && answer->key == key) {
      answer->answer.refused_below = refused_below;
    }
  }
}

}  // namespace

IngressServer::IngressServer(const schema::NodeSettings& settings,
                             uint64_t incarnation,
                             RuleBook& rules,
                             RequestContexts& contexts,
                             transport::WorkerClient& worker)
    : settings(settings),
      rules(rules),
      contexts(contexts),
      worker(worker),
      pool(settings.slots) {
  this->state.settings = ToIngressSettings(settings, incarnation);
  this->ticker = std::thread([this] { this->TickLoop(); });
}

IngressServer::~IngressServer() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  this->ticker.join();
}

void IngressServer::OnLinkOpen(const PeerLinkPtr& link) {
  absl::MutexLock lock(&this->links_mutex);
  this->links.emplace(link->id(), link);
}

void IngressServer::OnCallRequest(const PeerLinkPtr& link,
                                  schema::CallRequest request) {
  const auto rule = this->rules.Find(request.service, request.operation);
  node::IngressActions actions;
  if (!rule || request.service != this->settings.service) {
    schema::CallAnswer answer;
    answer.attempt_id = request.attempt_id;
    answer.reason = schema::Reason::kUnknownService;
    answer.tokens_left = request.retry_tokens;
    link->Send(answer);
    return;
  }
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnCallRequest(this->state, link->id(), std::move(request),
                                  *rule, MonotonicNow());
  }
  this->Perform(std::move(actions));
}

void IngressServer::OnTicketRequest(const PeerLinkPtr& link,
                                    const schema::TicketRequest& request) {
  // Stub until the execution module issues tickets: names this process and
  // gives no protection against a repeated send.
  schema::TicketGrant grant;
  grant.attempt_id = request.attempt_id;
  grant.outcome = schema::Outcome::kCompleted;
  grant.ticket = absl::StrFormat(
      "t1.%016x.%016x.%016x.%032x.%s", this->state.settings.incarnation,
      request.attempt_id, uint64_t{0}, uint64_t{0}, this->settings.vm_id);
  link->Send(grant);
}

void IngressServer::OnCancel(const PeerLinkPtr& link,
                             const schema::CancelCall& cancel) {
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnCancel(this->state, {link->id(), cancel.attempt_id},
                             MonotonicNow());
  }
  this->Perform(std::move(actions));
}

void IngressServer::OnLinkClosed(const PeerLinkPtr& link) {
  {
    absl::MutexLock lock(&this->links_mutex);
    this->links.erase(link->id());
  }
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnLinkClosed(this->state, link->id(), MonotonicNow());
  }
  this->Perform(std::move(actions));
}

void IngressServer::SetWorkerListener(const std::string& address) {
  absl::MutexLock lock(&this->links_mutex);
  this->worker_listener = address;
}

void IngressServer::StartLeaving() {
  absl::MutexLock lock(&this->mutex);
  node::StartLeaving(this->state);
}

bool IngressServer::IsDrained() {
  absl::MutexLock lock(&this->mutex);
  return node::IsDrained(this->state);
}

uint32_t IngressServer::in_flight() {
  absl::MutexLock lock(&this->mutex);
  return static_cast<uint32_t>(this->state.calls.size());
}

void IngressServer::Perform(node::IngressActions actions) {
  for (node::IngressAction& action : actions) {
    if (auto* run = std::get_if<node::RunCall>(&action)) {
      this->pool.Submit([this, key = run->key] { this->Run(key); });
    } else if (auto* answer = std::get_if<node::AnswerCall>(&action)) {
      const PeerLinkPtr link = this->FindLink(answer->key.link_id);
      if (link != nullptr) {
        link->Send(std::move(answer->answer));
      }
    } else if (auto* grant = std::get_if<node::GrantTicket>(&action)) {
      const PeerLinkPtr link = this->FindLink(grant->link_id);
      if (link != nullptr) {
        link->Send(std::move(grant->grant));
      }
    }
  }
}

void IngressServer::Run(node::CallKey key) {
  node::IngressActions actions;
  node::IngressCall call;
  bool wanted = false;
  {
    absl::MutexLock lock(&this->mutex);
    const node::IngressCall* begun =
        node::BeginRun(this->state, key, MonotonicNow(), actions);
    wanted = begun != nullptr;
    if (wanted) {
      call = *begun;
    }
  }
  if (wanted) {
    const std::string context_id = RandomId();
    RequestContext context;
    context.request_id = call.request.request_id;
    context.call_class = call.request.call_class;
    context.deadline = call.deadline;
    context.tokens.left = call.request.retry_tokens;
    this->contexts.Open(context_id, std::move(context));
    node::WorkerAnswer answer = this->CallWorker(call, context_id, key);
    const bool refused_below = this->contexts.IsRefusedBelow(context_id);
    const uint32_t tokens_left = this->contexts.Close(context_id);
    absl::MutexLock lock(&this->mutex);
    actions = node::OnWorkerEnd(this->state, key, std::move(answer),
                                tokens_left, MonotonicNow());
    MarkRefusedBelow(key, refused_below, actions);
  }
  this->Perform(std::move(actions));
}

node::WorkerAnswer IngressServer::CallWorker(const node::IngressCall& call,
                                             const std::string& context_id,
                                             node::CallKey key) {
  const absl::Duration left = call.deadline - MonotonicNow();
  std::string listener;
  {
    absl::MutexLock lock(&this->links_mutex);
    listener = this->worker_listener;
  }
  const std::vector<transport::HttpHeader> headers = {
      {"Boragepaddle-Context", context_id},
      {"Boragepaddle-Deadline-Ms",
       absl::StrCat(absl::ToInt64Milliseconds(left))},
      {"Boragepaddle-Class",
       std::string(schema::ToString(call.request.call_class))},
      {"Boragepaddle-Request-Id", call.request.request_id},
      {"Boragepaddle-Attempt", absl::StrCat(key.link_id, "-", key.attempt_id)},
      {"Boragepaddle-Node", listener}};
  return this->worker.Post(absl::StrCat("/", call.request.operation), headers,
                           call.request.body, left);
}

PeerLinkPtr IngressServer::FindLink(uint64_t link_id) {
  absl::MutexLock lock(&this->links_mutex);
  const auto found = this->links.find(link_id);
  return found == this->links.end() ? nullptr : found->second;
}

void IngressServer::TickLoop() {
  while (true) {
    node::IngressActions actions;
    {
      absl::MutexLock lock(&this->mutex);
      if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                       kTickInterval)) {
        return;
      }
      actions = node::OnTick(this->state, MonotonicNow());
    }
    this->Perform(std::move(actions));
  }
}

}  // namespace boragepaddle::daemon
