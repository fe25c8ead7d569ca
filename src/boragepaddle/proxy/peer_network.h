#ifndef BORAGEPADDLE_PROXY_PEER_NETWORK_H_
#define BORAGEPADDLE_PROXY_PEER_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/accept_loop.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::proxy {

/// Callbacks of a peer network.
struct PeerNetworkEvents {
  std::function<void(const event::PeerChannelPtr&, schema::Message&)>
      on_message;
  std::function<void(const event::PeerChannelPtr&)> on_suspect;
  /// A part of the channel's send queue was written.
  std::function<void(const event::PeerChannelPtr&)> on_drained;
  std::function<void(const event::PeerChannelPtr&)> on_closed;
  /// Makes the first frame of each direction.
  std::function<schema::PeerHello()> make_hello;
  /// True while an answer is expected on the channel.
  std::function<bool(const event::PeerChannelPtr&)> is_awaiting_answer;
};

/// Connections to and from the other nodes: one per direction and node.
class PeerNetwork {
 public:
  PeerNetwork(boost::asio::io_context& loop, PeerNetworkEvents events);

  boost::system::error_code Listen(const event::Tcp::endpoint& endpoint);

  /// Returns the open or connecting channel to the node; null if the address is
  /// malformed.
  event::PeerChannelPtr ChannelTo(absl::string_view host, uint16_t port);

  /// Accepts no more connections.
  void StopListening() { this->listener.Close(); }

  /// Later messages to the node are sent on another channel.
  void Retire(const event::PeerChannelPtr& channel);

  /// Sends to one node with an open channel, round robin.
  void SendToOne(const schema::Message& message);

  /// Sends to all nodes with an open channel, in either direction.
  void Broadcast(const schema::Message& message);

  void Tick(absl::Time now);
  size_t channels() const { return this->all_channels.size(); }

 private:
  event::PeerChannelPtr MakeChannel();

  boost::asio::io_context& loop;
  PeerNetworkEvents events;
  event::AcceptLoop listener;
  absl::flat_hash_map<std::string, event::PeerChannelPtr> outgoing;
  absl::flat_hash_set<event::PeerChannelPtr> all_channels;
  uint64_t next_number = 1;
  uint64_t next_turn = 0;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_PEER_NETWORK_H_
