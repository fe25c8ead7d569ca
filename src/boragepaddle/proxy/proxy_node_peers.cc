#include <utility>
#include <vector>

#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/proxy_node.h"

// What a node exchanges with the others: calls, copies of the store, grants.

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;

/// Change of the grant, in thousandths, that is told at once, and the shortest
/// and longest time between two notices.
constexpr uint32_t kGrantStep = 30;
constexpr absl::Duration kGrantMinAge = absl::Milliseconds(100);
constexpr absl::Duration kGrantMaxAge = absl::Milliseconds(400);

}  // namespace

PeerNetworkEvents ProxyNode::MakePeerEvents() {
  PeerNetworkEvents events;
  events.on_message = [this](const PeerChannelPtr& channel,
                             schema::Message& message) {
    this->OnPeerMessage(channel, message);
  };
  events.on_suspect = [this](const PeerChannelPtr& channel) {
    this->entry.OnChannelSilent(channel);
  };
  events.on_closed = [this](const PeerChannelPtr& channel) {
    this->OnChannelClosed(channel);
  };
  events.make_hello = [this] { return this->MakeHello(); };
  events.is_waiting = [this](const PeerChannelPtr& channel) {
    return this->entry.IsWaiting(channel);
  };
  return events;
}

void ProxyNode::OnPeerMessage(const PeerChannelPtr& channel,
                              schema::Message& message) {
  if (auto* call = std::get_if<schema::HttpCall>(&message)) {
    this->OnPeerCall(channel, std::move(*call));
  } else if (auto* answer = std::get_if<schema::HttpAnswer>(&message)) {
    this->entry.OnAnswer(std::move(*answer));
  } else if (const auto* cancel = std::get_if<schema::HttpCancel>(&message)) {
    this->OnPeerCancel(channel, *cancel);
  } else if (const auto* hello = std::get_if<schema::PeerHello>(&message)) {
    this->OnPeerHello(channel, *hello);
  } else if (const auto* notice = std::get_if<schema::LoadNotice>(&message)) {
    this->entry.OnLoadNotice(channel->host, *notice);
  } else {
    this->feed.OnMessage(channel, message);
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
  this->feed.OnHello(channel);
  if (this->stopping_since != absl::InfiniteFuture()) {
    channel->Send(this->worker_side.Notice());
  }
}

void ProxyNode::OnPeerCall(const PeerChannelPtr& channel,
                           schema::HttpCall call) {
  const std::pair<uint64_t, uint64_t> key(channel->number, call.call_id);
  // Reserved first, since the reply may come before Handle returns.
  this->remote_calls[key] = 0;
  const uint64_t id = this->worker_side.Handle(
      std::move(call), [this, channel, key](schema::HttpAnswer answer) {
        this->remote_calls.erase(key);
        channel->Send(answer);
      });
  const auto found = this->remote_calls.find(key);
  if (found != this->remote_calls.end()) {
    found->second = id;
  }
}

void ProxyNode::OnPeerCancel(const PeerChannelPtr& channel,
                             const schema::HttpCancel& cancel) {
  const auto found = this->remote_calls.find({channel->number, cancel.call_id});
  if (found != this->remote_calls.end()) {
    const uint64_t id = found->second;
    this->remote_calls.erase(found);
    this->worker_side.Cancel(id);
  }
}

void ProxyNode::OnChannelClosed(const PeerChannelPtr& channel) {
  std::vector<uint64_t> abandoned;
  for (auto call = this->remote_calls.begin();
       call != this->remote_calls.end();) {
    if (call->first.first == channel->number) {
      abandoned.push_back(call->second);
      this->remote_calls.erase(call++);
    } else {
      ++call;
    }
  }
  for (const uint64_t id : abandoned) {
    this->worker_side.Cancel(id);
  }
  this->feed.OnChannelClosed(channel);
  this->entry.OnChannelClosed(channel);
}

bool ProxyNode::HasState() const {
  return this->store.routes != nullptr && !this->store.workers.entries.empty();
}

// Every entry holds back root requests for services that it never calls
// itself, so all nodes are told.
void ProxyNode::TellGrant(absl::Time now) {
  const schema::LoadNotice notice = this->worker_side.Notice();
  const uint32_t grant = notice.load.grant;
  const uint32_t change = grant > this->told_grant ? grant - this->told_grant
                                                   : this->told_grant - grant;
  const absl::Duration age = now - this->told_at;
  const bool due = (change >= kGrantStep && age >= kGrantMinAge) ||
                   (this->worker_side.IsLoaded() && age >= kGrantMaxAge);
  if (!due) {
    return;
  }
  this->told_grant = grant;
  this->told_at = now;
  this->worker_side.LogLoad();
  this->entry.OnLoadNotice(this->settings.host, notice);
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
