#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/proxy_node.h"
#include "boragepaddle/quarantine/witnesses.h"

// Messages between nodes: calls, replication of the store, and load.

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;

/// Change of the admission rate, in thousandths, that is broadcast without
/// waiting for the maximum interval, and the minimum and maximum interval of
/// broadcasts.
constexpr uint32_t kMinGrantChange = 30;
constexpr absl::Duration kMinGrantInterval = absl::Milliseconds(100);
constexpr absl::Duration kMaxGrantInterval = absl::Milliseconds(400);

/// Nodes of the service that a new process asks for crash reports.
constexpr size_t kCrashReportSources = 3;

/// Nodes of other services that keep the rejections of a service. With six in
/// ten of all nodes killed at once, all of them are among these in 2 of 100
/// cases.
constexpr size_t kWitnesses = 8;

/// Interval at which a node with reports connects to nodes that it is not
/// connected to.
constexpr absl::Duration kReportConnectInterval = absl::Seconds(1);

}  // namespace

PeerNetworkEvents ProxyNode::MakePeerEvents() {
  PeerNetworkEvents events;
  events.on_message = [this](const PeerChannelPtr& channel,
                             schema::Message& message) {
    this->OnPeerMessage(channel, message);
  };
  events.on_suspect = [this](const PeerChannelPtr& channel) {
    this->router.OnChannelSilent(channel);
  };
  events.on_drained = [this](const PeerChannelPtr& channel) {
    this->body_sender.OnDrained(channel);
  };
  events.on_closed = [this](const PeerChannelPtr& channel) {
    this->OnChannelClosed(channel);
  };
  events.make_hello = [this] { return this->MakeHello(); };
  events.is_awaiting_answer = [this](const PeerChannelPtr& channel) {
    return this->router.IsAwaitingAnswer(channel);
  };
  return events;
}

void ProxyNode::OnPeerMessage(const PeerChannelPtr& channel,
                              schema::Message& message) {
  if (this->account_limiter.OnMessage(channel, message) ||
      this->quarantine.OnMessage(message, event::BootNow())) {
    return;
  }
  if (auto* call = std::get_if<schema::HttpCall>(&message)) {
    this->OnPeerCall(channel, std::move(*call));
  } else if (auto* answer = std::get_if<schema::HttpAnswer>(&message)) {
    if (answer->streamed_bytes > 0) {
      this->router.OnAnswerStart(channel, std::move(*answer));
    } else {
      this->router.OnAnswer(std::move(*answer), event::MemoryReservation());
    }
  } else if (const auto* piece = std::get_if<schema::BodyPiece>(&message)) {
    this->OnBodyPiece(channel, *piece);
  } else if (const auto* cancel = std::get_if<schema::HttpCancel>(&message)) {
    this->OnPeerCancel(channel, *cancel);
  } else if (const auto* hello = std::get_if<schema::PeerHello>(&message)) {
    this->OnPeerHello(channel, *hello);
  } else if (const auto* notice = std::get_if<schema::LoadNotice>(&message)) {
    this->router.OnLoadNotice(channel->host, *notice);
  } else if (const auto* resume = std::get_if<schema::CallResume>(&message)) {
    this->OnPeerResume(channel, *resume);
  } else if (const auto* states = std::get_if<schema::CallStates>(&message)) {
    this->router.OnCallStates(channel, *states);
  } else if (const auto* closing = std::get_if<schema::PeerClosing>(&message)) {
    this->router.OnPeerClosing(channel, *closing);
  } else {
    this->replicator.OnMessage(channel, message);
  }
}

schema::PeerHello ProxyNode::MakeHello() const {
  schema::PeerHello hello;
  hello.vm_id = this->settings.vm_id;
  hello.host = this->settings.host;
  hello.service = this->settings.service;
  hello.incarnation = this->incarnation;
  return hello;
}

void ProxyNode::OnPeerHello(const PeerChannelPtr& channel,
                            const schema::PeerHello& hello) {
  channel->host = hello.host;
  channel->peer_incarnation = hello.incarnation;
  if (channel->was_accepted()) {
    this->incoming_channels[channel->number] = channel;
    recovery::OnConnected(this->inbound_calls, hello.incarnation,
                          channel->number);
  }
  this->replicator.OnHello(channel);
  const bool is_witness =
      this->quarantine.has_rejections() &&
      absl::c_linear_search(this->WitnessHosts(), hello.host);
  for (const schema::Message& report : this->quarantine.ReportsFor(
           hello.service, is_witness, event::BootNow())) {
    channel->Send(report);
  }
  if (this->shutdown.started_at != absl::InfiniteFuture()) {
    channel->Send(this->worker_side.MakeLoadNotice());
  }
}

std::vector<std::string> ProxyNode::ServiceHosts() const {
  std::vector<std::string> hosts;
  for (const auto& [instance, worker] : this->store.workers.entries) {
    if (worker.service == this->settings.service &&
        worker.host != this->settings.host) {
      hosts.push_back(worker.host);
    }
  }
  return hosts;
}

std::vector<std::string> ProxyNode::WitnessHosts() const {
  std::vector<std::string> hosts;
  for (const auto& [instance, worker] : this->store.workers.entries) {
    if (worker.service != this->settings.service) {
      hosts.push_back(worker.host);
    }
  }
  return quarantine::ChooseWitnesses(hosts, this->settings.service, kWitnesses);
}

void ProxyNode::SendTo(absl::Span<const std::string> hosts,
                       const schema::Message& message) {
  for (const std::string& host : hosts) {
    const PeerChannelPtr channel =
        this->peers.ChannelTo(host, this->settings.peer_port);
    if (channel != nullptr) {
      channel->Send(message);
    }
  }
}

void ProxyNode::RequestCrashReports() {
  std::vector<std::string> hosts = this->ServiceHosts();
  hosts.resize(std::min(hosts.size(), kCrashReportSources));
  absl::c_copy(this->WitnessHosts(), std::back_inserter(hosts));
  for (const std::string& host : hosts) {
    this->requested_crash_reports |=
        this->peers.ChannelTo(host, this->settings.peer_port) != nullptr;
  }
}

void ProxyNode::ConnectForReports(absl::Time now) {
  if (now - this->connected_for_reports_at < kReportConnectInterval) {
    return;
  }
  this->connected_for_reports_at = now;
  if (!this->quarantine.HasOwnEvidence()) {
    return;
  }
  std::vector<std::string> hosts = this->ServiceHosts();
  absl::c_copy(this->WitnessHosts(), std::back_inserter(hosts));
  for (const std::string& host : hosts) {
    this->peers.ChannelTo(host, this->settings.peer_port);
  }
}

// Calls that arrive after this message are ignored, so that "never received" is
// true for all calls that are not in progress. Answers of which a part has been
// sent count as in progress.
void ProxyNode::TellPeersOfEnd() {
  this->peers_told_of_end = true;
  this->inbound_bodies.Clear();
  this->peers.StopListening();
  for (const auto& [number, channel] : this->incoming_channels) {
    schema::PeerClosing closing;
    closing.unfinished = recovery::CallsInProgress(this->inbound_calls,
                                                   channel->peer_incarnation);
    for (const uint64_t id : this->body_sender.AnswersInProgress(number)) {
      closing.unfinished.push_back(id);
    }
    channel->Send(closing);
  }
}

void ProxyNode::OnChannelClosed(const PeerChannelPtr& channel) {
  if (channel->was_accepted()) {
    this->incoming_channels.erase(channel->number);
    recovery::OnConnectionClosed(this->inbound_calls, channel->number,
                                 event::BootNow());
    this->inbound_bodies.OnChannelClosed(channel->number);
  }
  this->replicator.OnChannelClosed(channel);
  // Asks whether bodies were sent.
  this->router.OnChannelClosed(channel);
  this->account_limiter.OnChannelClosed(channel);
  this->body_sender.OnChannelClosed(channel->number);
}

bool ProxyNode::HasStoreState() const {
  return this->store.routes != nullptr && !this->store.workers.entries.empty();
}

// Each node throttles root requests for services that it never calls directly,
// so every node receives the admission rate.
void ProxyNode::BroadcastGrant(absl::Time now) {
  const schema::LoadNotice notice = this->worker_side.MakeLoadNotice();
  const uint32_t grant = notice.load.grant;
  const uint32_t change = grant > this->sent_grant ? grant - this->sent_grant
                                                   : this->sent_grant - grant;
  const absl::Duration age = now - this->grant_sent_at;
  const bool is_due =
      (change >= kMinGrantChange && age >= kMinGrantInterval) ||
      (this->worker_side.IsNearLimit() && age >= kMaxGrantInterval);
  if (!is_due) {
    return;
  }
  this->sent_grant = grant;
  this->grant_sent_at = now;
  this->worker_side.LogLoad();
  this->router.OnLoadNotice(this->settings.host, notice);
  for (const auto& [instance, worker] : this->store.workers.entries) {
    if (worker.host == this->settings.host) {
      continue;
    }
    const PeerChannelPtr channel =
        this->peers.ChannelTo(worker.host, this->settings.peer_port);
    if (channel != nullptr) {
      channel->Send(notice);
    }
  }
}

}  // namespace boragepaddle::proxy
