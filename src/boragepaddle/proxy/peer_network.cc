#include "boragepaddle/proxy/peer_network.h"

#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace boragepaddle::proxy {

using event::PeerChannel;
using event::PeerChannelPtr;

namespace {

constexpr int kListenBacklog = 512;

}  // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context& loop,
                         PeerNetworkEvents events)
    : loop(loop),
      events(std::move(events)),
      listener(loop, [this](event::Tcp::socket socket) {
        this->MakeChannel()->Adopt(std::move(socket));
      }) {}

boost::system::error_code PeerNetwork::Listen(
    const event::Tcp::endpoint& endpoint) {
  return this->listener.Listen(endpoint, kListenBacklog);
}

PeerChannelPtr PeerNetwork::MakeChannel() {
  event::PeerChannelEvents channel_events;
  channel_events.on_open = [this](const PeerChannelPtr& channel) {
    if (channel->was_accepted()) {
      channel->Send(this->events.make_hello());
    }
  };
  channel_events.on_message = [this](const PeerChannelPtr& channel,
                                     schema::Message& message) {
    this->events.on_message(channel, message);
  };
  channel_events.on_suspect = this->events.on_suspect;
  channel_events.on_drained = this->events.on_drained;
  channel_events.on_closed = [this](const PeerChannelPtr& channel) {
    this->Retire(channel);
    this->all_channels.erase(channel);
    this->events.on_closed(channel);
  };
  auto channel = std::make_shared<PeerChannel>(this->loop, channel_events);
  channel->number = this->next_number++;
  this->all_channels.insert(channel);
  return channel;
}

PeerChannelPtr PeerNetwork::ChannelTo(absl::string_view host, uint16_t port) {
  const auto found = this->outgoing.find(host);
  if (found != this->outgoing.end() && !found->second->is_closed()) {
    return found->second;
  }
  const auto endpoint = event::ParseEndpoint(absl::StrCat(host, ":", port));
  if (!endpoint) {
    return nullptr;
  }
  PeerChannelPtr channel = this->MakeChannel();
  channel->host = std::string(host);
  this->outgoing[channel->host] = channel;
  // The hello must precede all frames that are queued until the connection
  // opens.
  channel->Send(this->events.make_hello());
  channel->Connect(*endpoint);
  return channel;
}

void PeerNetwork::Retire(const PeerChannelPtr& channel) {
  const auto found = this->outgoing.find(channel->host);
  if (found != this->outgoing.end() && found->second == channel) {
    this->outgoing.erase(found);
  }
}

void PeerNetwork::SendToOne(const schema::Message& message) {
  std::vector<PeerChannelPtr> open;
  for (const PeerChannelPtr& channel : this->all_channels) {
    if (channel->is_open()) {
      open.push_back(channel);
    }
  }
  if (!open.empty()) {
    open[this->next_turn++ % open.size()]->Send(message);
  }
}

void PeerNetwork::Broadcast(const schema::Message& message) {
  for (const PeerChannelPtr& channel : this->all_channels) {
    if (channel->is_open()) {
      channel->Send(message);
    }
  }
}

void PeerNetwork::Tick(absl::Time now) {
  const std::vector<PeerChannelPtr> channels(this->all_channels.begin(),
                                             this->all_channels.end());
  for (const PeerChannelPtr& channel : channels) {
    channel->Tick(now, this->events.is_awaiting_answer(channel));
  }
}

}  // namespace boragepaddle::proxy
