#include "boragepaddle/daemon/egress_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/node/egress_finish.h"
#include "boragepaddle/routing/route_table.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

using transport::MonotonicNow;

constexpr absl::Duration kProbeInterval = absl::Milliseconds(100);
// How often a call that waits for its retry checks that its caller is still
// connected.
constexpr absl::Duration kConnectedCheckInterval = absl::Milliseconds(50);

}  // namespace

EgressClient::EgressClient(node::EgressSettings settings,
                           PeerHub& hub,
                           AttemptTable& attempts)
    : settings(std::move(settings)), hub(hub), attempts(attempts) {
  this->hub.Observe(this);
  this->prober = std::thread([this] { this->ProbeLoop(); });
}

EgressClient::~EgressClient() {
  {
    absl::MutexLock lock(&this->mutex);
    this->stopping = true;
  }
  this->prober.join();
}

node::FinishCall EgressClient::Call(node::EgressCall call,
                                    const CallerConnected& caller_connected) {
  node::EgressAction action =
      this->services.With(call.service, [&](Services& all) {
        return node::BeginCall(call, this->FindOrAddService(all, call.service),
                               this->settings, MonotonicNow(), RandomBits());
      });
  while (!std::holds_alternative<node::FinishCall>(action)) {
    action = this->Perform(call, std::move(action), caller_connected);
  }
  return std::get<node::FinishCall>(std::move(action));
}

bool EgressClient::CalleesAdmit(absl::Span<const config::OperationName> callees,
                                schema::CallClass call_class) {
  if (this->settings.policy != node::EgressPolicy::kFull) {
    return true;
  }
  for (const config::OperationName& callee : callees) {
    const bool passes = this->services.With(callee.service, [&](Services& all) {
      return node::PassesGates(this->FindOrAddService(all, callee.service),
                               callee.operation, call_class, MonotonicNow(),
                               RandomBits());
    });
    if (!passes) {
      return false;
    }
  }
  return true;
}

void EgressClient::SetUpstreams(absl::Span<const schema::VmEntry> vms) {
  auto by_service = std::make_shared<VmsByService>();
  for (const schema::VmEntry& vm : vms) {
    (*by_service)[vm.service].push_back(vm);
  }
  {
    absl::MutexLock lock(&this->mutex);
    this->listed = std::move(by_service);
  }
  // Services that have not been called get their upstreams on first use.
  this->services.ForEach([this](Services& all) {
    for (auto& [service, state] : all) {
      routing::SetUpstreams(state.routes, this->settings.locality,
                            this->ListedVms(service), MonotonicNow());
    }
  });
}

std::vector<schema::VmEntry> EgressClient::ListedVms(
    const std::string& service) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->listed->find(service);
  return found == this->listed->end() ? std::vector<schema::VmEntry>()
                                      : found->second;
}

node::ServiceState& EgressClient::FindOrAddService(Services& all,
                                                   const std::string& service) {
  node::ServiceState& state = all[service];
  if (!state.routes.installed) {
    routing::SetUpstreams(state.routes, this->settings.locality,
                          this->ListedVms(service), MonotonicNow());
  }
  return state;
}

void EgressClient::OnPeerHello(const schema::Hello& hello, bool listed) {
  this->services.With(hello.service, [&](Services& all) {
    const auto found = all.find(hello.service);
    if (found == all.end()) {
      return;
    }
    routing::RouteTable& routes = found->second.routes;
    if (listed) {
      routing::OnHello(routes, this->settings.locality, hello, MonotonicNow());
    } else if (hello.leaving) {
      routing::OnLeaving(routes, this->settings.locality, hello.vm_id,
                         hello.incarnation, MonotonicNow());
    }
  });
}

void EgressClient::OnPeerLeaving(const schema::Hello& hello) {
  this->services.With(hello.service, [&](Services& all) {
    const auto found = all.find(hello.service);
    if (found != all.end()) {
      this->log.Info(absl::StrCat("upstream is leaving vm=", hello.vm_id));
      routing::OnLeaving(found->second.routes, this->settings.locality,
                         hello.vm_id, hello.incarnation, MonotonicNow());
    }
  });
}

void EgressClient::OnPeerLost(const schema::Hello& hello) {
  this->services.With(hello.service, [&](Services& all) {
    const auto found = all.find(hello.service);
    if (found != all.end()) {
      routing::OnConnectionLost(found->second.routes, hello.vm_id,
                                MonotonicNow(), RandomBits());
    }
  });
}

node::EgressAction EgressClient::Perform(
    node::EgressCall& call,
    node::EgressAction action,
    const CallerConnected& caller_connected) {
  if (auto* send = std::get_if<node::SendAttempt>(&action)) {
    return this->Send(call, std::move(*send), caller_connected);
  }
  if (auto* ask = std::get_if<node::AskTicket>(&action)) {
    return this->RequestTicket(call, std::move(*ask), caller_connected);
  }
  return this->Wait(call, std::get<node::WaitUntil>(action), caller_connected);
}

node::EgressAction EgressClient::Send(node::EgressCall& call,
                                      node::SendAttempt send,
                                      const CallerConnected& caller_connected) {
  const PeerLinkPtr link = this->hub.Connect(send.upstream.peer_address);
  if (link == nullptr) {
    return this->HandleAttemptLoss(call, node::AttemptLoss::kNotSent);
  }
  const uint64_t attempt_id = this->attempts.Register(link->id());
  send.request.attempt_id = attempt_id;
  send.request.sent_at_us = absl::ToUnixMicros(MonotonicNow());
  if (!link->Send(std::move(send.request))) {
    // The frame was not sent completely, so the peer cannot decode it.
    this->attempts.Forget(attempt_id);
    return this->HandleAttemptLoss(call, node::AttemptLoss::kNotSent);
  }
  AttemptResult result =
      this->attempts.Wait(attempt_id, send.give_up_at, caller_connected);
  if (!result.answer) {
    if (result.loss != node::AttemptLoss::kConnectionLost) {
      link->Send(schema::CancelCall{attempt_id});
    }
    return this->HandleAttemptLoss(call, result.loss);
  }
  return this->services.With(call.service, [&](Services& all) {
    return node::OnAttemptAnswer(
        call, this->FindOrAddService(all, call.service), this->settings,
        std::move(*result.answer), MonotonicNow(), RandomBits());
  });
}

node::EgressAction EgressClient::RequestTicket(
    node::EgressCall& call,
    node::AskTicket ask,
    const CallerConnected& caller_connected) {
  const PeerLinkPtr link = this->hub.Connect(ask.upstream.peer_address);
  if (link == nullptr) {
    return this->HandleAttemptLoss(call, node::AttemptLoss::kNotSent);
  }
  ask.request.attempt_id = this->attempts.Register(link->id());
  if (!link->Send(ask.request)) {
    this->attempts.Forget(ask.request.attempt_id);
    return this->HandleAttemptLoss(call, node::AttemptLoss::kNotSent);
  }
  AttemptResult result = this->attempts.Wait(ask.request.attempt_id,
                                             ask.give_up_at, caller_connected);
  if (!result.grant) {
    return this->HandleAttemptLoss(call, result.loss);
  }
  return this->services.With(call.service, [&](Services& all) {
    return node::OnTicketGrant(call, this->FindOrAddService(all, call.service),
                               this->settings, std::move(*result.grant),
                               MonotonicNow(), RandomBits());
  });
}

node::EgressAction EgressClient::Wait(node::EgressCall& call,
                                      const node::WaitUntil& wait,
                                      const CallerConnected& caller_connected) {
  absl::Duration left = wait.when - MonotonicNow();
  while (left > absl::ZeroDuration()) {
    if (!caller_connected()) {
      return node::FinishWithout(call, schema::Outcome::kUnknown,
                                 schema::Reason::kSenderGone);
    }
    absl::SleepFor(std::min(left, kConnectedCheckInterval));
    left = wait.when - MonotonicNow();
  }
  return this->services.With(call.service, [&](Services& all) {
    return node::OnWaitOver(call, this->FindOrAddService(all, call.service),
                            this->settings, MonotonicNow(), RandomBits());
  });
}

node::EgressAction EgressClient::HandleAttemptLoss(node::EgressCall& call,
                                                   node::AttemptLoss loss) {
  return this->services.With(call.service, [&](Services& all) {
    return node::OnAttemptLoss(call, this->FindOrAddService(all, call.service),
                               this->settings, loss, MonotonicNow(),
                               RandomBits());
  });
}

void EgressClient::ProbeLoop() {
  while (true) {
    {
      absl::MutexLock lock(&this->mutex);
      if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                       kProbeInterval)) {
        return;
      }
    }
    this->Probe();
  }
}

void EgressClient::Probe() {
  struct Due {
    std::string service;
    routing::ProbeTarget target;
  };
  std::vector<Due> due;
  this->services.ForEach([&due](Services& all) {
    for (auto& [service, state] : all) {
      for (auto& target : routing::DueProbes(state.routes, MonotonicNow())) {
        due.push_back({service, std::move(target)});
      }
    }
  });
  for (const Due& item : due) {
    // Success is reported by OnPeerHello, which ends the back-off.
    if (this->hub.Connect(item.target.peer_address) == nullptr) {
      this->services.With(item.service, [&](Services& all) {
        routing::OnConnectionLost(
            this->FindOrAddService(all, item.service).routes, item.target.vm_id,
            MonotonicNow(), RandomBits());
      });
    }
  }
}

}  // namespace boragepaddle::daemon
