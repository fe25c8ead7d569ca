#include "boragepaddle/daemon/egress_client.h"

#include <utility>
#include <variant>
#include <vector>

#include "absl/time/clock.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {

namespace {

using transport::MonotonicNow;

}  // namespace

EgressClient::EgressClient(routing::Locality locality,
                           PeerHub& hub,
                           AttemptTable& attempts)
    : locality(std::move(locality)), hub(hub), attempts(attempts) {}

node::FinishCall EgressClient::Call(
    node::EgressCall call,
    const std::function<bool()>& caller_connected) {
  const std::string service = call.service;
  node::EgressAction action =
      this->routes.With(service, [&](RouteTables& tables) {
        return node::BeginCall(call, tables[service], this->locality,
                               MonotonicNow(), RandomBits());
      });
  while (!std::holds_alternative<node::FinishCall>(action)) {
    if (auto* send = std::get_if<node::SendAttempt>(&action)) {
      action = this->Send(call, std::move(*send), caller_connected);
      continue;
    }
    absl::SleepFor(std::get<node::WaitUntil>(action).when - MonotonicNow());
    action = this->routes.With(service, [&](RouteTables& tables) {
      return node::OnWaitOver(call, tables[service], this->locality,
                              MonotonicNow(), RandomBits());
    });
  }
  return std::get<node::FinishCall>(std::move(action));
}

void EgressClient::SetUpstreams(absl::Span<const schema::VmEntry> vms) {
  absl::flat_hash_map<std::string, std::vector<schema::VmEntry>> by_service;
  for (const schema::VmEntry& vm : vms) {
    by_service[vm.service].push_back(vm);
  }
  this->routes.ForEach([&by_service](RouteTables& tables) {
    for (auto& [service, table] : tables) {
      by_service.try_emplace(service);
    }
  });
  for (const auto& item : by_service) {
    this->routes.With(item.first, [&item](RouteTables& tables) {
      routing::SetUpstreams(tables[item.first], item.second);
    });
  }
}

node::EgressAction EgressClient::Send(
    node::EgressCall& call,
    node::SendAttempt send,
    const std::function<bool()>& caller_connected) {
  const PeerLinkPtr link = this->hub.Connect(send.upstream.peer_address);
  if (link == nullptr) {
    return this->Lost(call, node::AttemptLoss::kNotSent);
  }
  const uint64_t attempt_id = this->attempts.Register(link->id());
  send.request.attempt_id = attempt_id;
  send.request.sent_at_us = absl::ToUnixMicros(MonotonicNow());
  if (!link->Send(std::move(send.request))) {
    // The kernel did not take the whole frame, so the peer cannot decode it.
    this->attempts.Forget(attempt_id);
    return this->Lost(call, node::AttemptLoss::kNotSent);
  }
  AttemptResult result =
      this->attempts.Wait(attempt_id, send.give_up_at, caller_connected);
  if (!result.answer) {
    if (result.loss != node::AttemptLoss::kConnectionLost) {
      link->Send(schema::CancelCall{attempt_id});
    }
    return this->Lost(call, result.loss);
  }
  return this->routes.With(call.service, [&](RouteTables& tables) {
    return node::OnAttemptAnswer(call, tables[call.service], this->locality,
                                 std::move(*result.answer), MonotonicNow(),
                                 RandomBits());
  });
}

node::EgressAction EgressClient::Lost(node::EgressCall& call,
                                      node::AttemptLoss loss) {
  return this->routes.With(call.service, [&](RouteTables& tables) {
    return node::OnAttemptLoss(call, tables[call.service], this->locality, loss,
                               MonotonicNow(), RandomBits());
  });
}

}  // namespace boragepaddle::daemon
