#include "boragepaddle/daemon/ingress_server.h"

#include <openssl/rand.h>

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::daemon {

namespace {

using transport::MonotonicNow;

constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(200);
constexpr absl::Duration kCancelTimeout = absl::Milliseconds(500);
// Reports go to at most a few dozen VMs of the service; cancels and probes are
// short.
constexpr size_t kControlThreads = 16;
// The queue holds two calls a slot, so that a call waits for at most about two
// service times. With few slots, a demand of 75% of the capacity needs room
// for 16 calls to have under 1% of them find the queue full.
constexpr uint32_t kQueuePerSlot = 2;
constexpr uint32_t kLeastQueue = 16;

node::IngressSettings ToIngressSettings(const schema::NodeSettings& settings,
                                        uint64_t incarnation) {
  node::IngressSettings result;
  result.vm_id = settings.vm_id;
  result.service = settings.service;
  result.incarnation = incarnation;
  result.slots = settings.slots;
  result.max_queue = std::max(kLeastQueue, kQueuePerSlot * settings.slots);
  result.quarantine = settings.policy == "full";
  result.worker_accepts_cancel = settings.worker_accepts_cancel;
  const int filled = RAND_bytes(result.ticket_secret.data(),
                                static_cast<int>(result.ticket_secret.size()));
  assert(filled == 1);
  static_cast<void>(filled);
  return result;
}

std::string AttemptName(node::CallKey key) {
  return absl::StrCat(key.link_id, "-", key.attempt_id);
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
                             transport::WorkerClient& worker,
                             PeerConnector connect,
                             CalleesAdmit callees_admit)
    : settings(settings),
      rules(rules),
      contexts(contexts),
      worker(worker),
      connect(std::move(connect)),
      callees_admit(std::move(callees_admit)),
      state(node::MakeIngress(ToIngressSettings(settings, incarnation))),
      pool(settings.slots),
      control_pool(kControlThreads) {
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
  {
    absl::MutexLock lock(&this->links_mutex);
    this->links.emplace(link->id(), link);
  }
  absl::MutexLock lock(&this->mutex);
  node::OnLinkOpen(this->state, link->id(), link->peer().sent_at_us,
                   MonotonicNow());
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
  // A request with a ticket was let pass when the ticket was issued, and it may
  // be the repeat of one that has run.
  const bool admit = !request.ticket.empty() ||
                     this->callees_admit(request.service, request.operation,
                                         request.call_class);
  {
    absl::MutexLock lock(&this->mutex);
    if (admit) {
      actions = node::OnCallRequest(this->state, link->id(), std::move(request),
                                    *rule, MonotonicNow());
    } else {
      actions = node::RefuseForCallees(this->state, link->id(), request,
                                       MonotonicNow());
    }
  }
  this->Perform(std::move(actions));
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

void IngressServer::OnTicketRequest(const PeerLinkPtr& link,
                                    const schema::TicketRequest& request) {
  if (!this->callees_admit(request.service, request.operation,
                           request.call_class)) {
    schema::TicketGrant grant;
    grant.attempt_id = request.attempt_id;
    grant.reason = schema::Reason::kRefusedBelow;
    link->Send(grant);
    return;
  }
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions =
        node::OnTicketRequest(this->state, link->id(), request, MonotonicNow());
  }
  this->Perform(std::move(actions));
}

void IngressServer::OnCrashReport(const PeerLinkPtr& link,
                                  const schema::CrashReport& report) {
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnCrashReport(this->state, report, MonotonicNow());
  }
  if (report.ack_id != 0) {
    link->Send(schema::CrashAck{report.ack_id});
  }
  this->Perform(std::move(actions));
}

void IngressServer::OnCrashAck(const PeerLinkPtr& link,
                               const schema::CrashAck& ack) {
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnReportResult(this->state, ack.ack_id, link->peer().vm_id,
                                   /*reached=*/true, MonotonicNow());
  }
  this->Perform(std::move(actions));
}

void IngressServer::SetVms(absl::Span<const schema::VmEntry> vms) {
  std::vector<schema::VmEntry> peers;
  std::vector<std::string> ids;
  for (const schema::VmEntry& vm : vms) {
    if (vm.service == this->settings.service &&
        vm.vm_id != this->settings.vm_id &&
        vm.state == schema::VmState::kLive) {
      peers.push_back(vm);
      ids.push_back(vm.vm_id);
    }
  }
  std::sort(ids.begin(), ids.end());
  {
    absl::MutexLock lock(&this->links_mutex);
    this->peers = std::move(peers);
  }
  absl::MutexLock lock(&this->mutex);
  this->state.peers = std::move(ids);
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
      this->Send(answer->key.link_id, std::move(answer->answer));
    } else if (auto* grant = std::get_if<node::GrantTicket>(&action)) {
      this->Send(grant->link_id, std::move(grant->grant));
    } else if (auto* cancel = std::get_if<node::CancelRunningCall>(&action)) {
      this->control_pool.Submit(
          [this, key = cancel->key] { this->CancelAtWorker(key); });
    } else if (auto* report = std::get_if<node::ReportCrash>(&action)) {
      this->Report(*report);
    } else if (std::holds_alternative<node::ProbeWorker>(action)) {
      this->control_pool.Submit([this] { this->ProbeWorker(); });
    }
  }
}

void IngressServer::Send(uint64_t link_id, const schema::Message& message) {
  const PeerLinkPtr link = this->FindLink(link_id);
  if (link != nullptr) {
    link->Send(message);
  }
}

void IngressServer::CancelAtWorker(node::CallKey key) {
  // The end of the call itself tells whether it was cancelled.
  this->worker.Post(absl::StrCat("/cancel/", AttemptName(key)), {}, "",
                    kCancelTimeout);
}

void IngressServer::ProbeWorker() {
  const bool accepts =
      transport::Connect(this->settings.upstream_address, kProbeTimeout)
          .has_value();
  node::IngressActions actions;
  bool changed = false;
  {
    absl::MutexLock lock(&this->mutex);
    const node::WorkerState before = this->state.worker;
    actions = node::OnWorkerProbe(this->state, accepts, MonotonicNow());
    changed = before != this->state.worker;
  }
  if (changed) {
    this->log.Warn(accepts ? "worker accepts connections"
                           : "worker refuses connections");
  }
  this->Perform(std::move(actions));
}

void IngressServer::Report(const node::ReportCrash& report) {
  for (const schema::CrashReport& crash : report.reports) {
    this->log.Warn(absl::StrCat("audit crash suspect service=", crash.service,
                                " fingerprint=", absl::Hex(crash.fingerprint),
                                " crashes=", crash.crashes,
                                " runner=", crash.runner));
  }
  std::vector<schema::VmEntry> peers;
  {
    absl::MutexLock lock(&this->links_mutex);
    peers = this->peers;
  }
  for (const schema::VmEntry& vm : peers) {
    this->control_pool.Submit(
        [this, vm, report] { this->ReportTo(vm, report); });
  }
}

void IngressServer::ReportTo(const schema::VmEntry& vm,
                             const node::ReportCrash& report) {
  const PeerLinkPtr link = this->connect(vm.peer_address);
  bool sent = link != nullptr;
  for (size_t at = 0; sent && at < report.reports.size(); ++at) {
    schema::CrashReport crash = report.reports[at];
    // A connection keeps its order, so the last one confirms all.
    crash.ack_id = at + 1 == report.reports.size() ? report.crash : 0;
    sent = link->Send(crash);
  }
  if (sent) {
    return;
  }
  node::IngressActions actions;
  {
    absl::MutexLock lock(&this->mutex);
    actions = node::OnReportResult(this->state, report.crash, vm.vm_id,
                                   /*reached=*/false, MonotonicNow());
  }
  this->Perform(std::move(actions));
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
  this->Perform(std::move(actions));
  if (wanted) {
    this->RunAtWorker(key, call);
  }
}

void IngressServer::RunAtWorker(node::CallKey key,
                                const node::IngressCall& call) {
  const std::string context_id = RandomId();
  RequestContext context;
  context.request_id = call.request.request_id;
  context.call_class = call.request.call_class;
  context.deadline = call.deadline;
  context.child_depth = call.request.depth + 1;
  context.tokens.remaining = call.request.retry_tokens;
  this->contexts.Open(context_id, std::move(context));
  node::WorkerAnswer answer = this->CallWorker(call, context_id, key);
  const bool refused_below = this->contexts.IsRefusedBelow(context_id);
  const uint32_t tokens_left = this->contexts.Close(context_id);
  node::IngressActions actions;
  {
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
  if (left <= absl::ZeroDuration()) {
    // The node was paused after BeginRun.
    return node::WorkerAnswer();
  }
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
      {"Boragepaddle-Attempt", AttemptName(key)},
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
