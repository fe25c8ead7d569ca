#ifndef BORAGEPADDLE_EVENT_PEER_CHANNEL_H_
#define BORAGEPADDLE_EVENT_PEER_CHANNEL_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "boragepaddle/event/liveness_monitor.h"
#include "boragepaddle/event/socket_options.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::event {

class PeerChannel;
using PeerChannelPtr = std::shared_ptr<PeerChannel>;

/// Callbacks of a PeerChannel.
struct PeerChannelEvents {
  std::function<void(const PeerChannelPtr&)> on_open;
  std::function<void(const PeerChannelPtr&, schema::Message&)> on_message;
  /// Called when answers are awaited but the peer has stopped sending.
  std::function<void(const PeerChannelPtr&)> on_suspect;
  /// Called after a part of the send queue was written.
  std::function<void(const PeerChannelPtr&)> on_drained;
  /// Called once, when the channel closes or the attempt to connect fails.
  std::function<void(const PeerChannelPtr&)> on_closed;
};

/// A TCP connection between two nodes that carries length-prefixed msgpack
/// messages.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  PeerChannel(boost::asio::io_context& loop, const PeerChannelEvents& events);

  /// Takes ownership of an accepted connection.
  void Adopt(Tcp::socket socket);
  /// Opens a connection to the endpoint.
  void Connect(const Tcp::endpoint& endpoint);

  /// Queues a message. Returns false if the channel is closed or its send queue
  /// is full.
  bool Send(const schema::Message& message);

  /// Closes the connection and posts `on_closed` to the event loop.
  void Close();

  /// Enforces the connect timeout. While `waiting` for answers, sends
  /// heartbeats, reports an unresponsive peer, and closes the channel if the
  /// peer stays unresponsive.
  void Tick(absl::Time now, bool waiting);

  /// Bytes that wait to be written, without those being written.
  size_t queued_bytes() const { return this->pending_writes.size(); }

  bool is_open() const { return this->opened && !this->closed; }
  bool is_closed() const { return this->closed; }
  /// True once connected: messages may have reached the other node.
  bool was_open() const { return this->opened; }

  /// True if the other node opened the connection.
  bool was_accepted() const { return this->accepted; }
  /// True if the connection was refused, so no process listens at the endpoint.
  bool was_refused() const { return this->refused; }

  /// Identity of the other node; set and used by the owner of the channel.
  std::string host;
  uint64_t number = 0;
  /// Incarnation from the other node's hello message; 0 before it arrives.
  uint64_t peer_incarnation = 0;

 private:
  void OnOpened();
  void Read();
  void ProcessFrames();
  void Write();
  void OnWritten();

  boost::asio::io_context& loop;
  PeerChannelEvents events;
  Tcp::socket socket;
  bool opened = false;
  bool closed = false;
  bool accepted = false;
  bool refused = false;
  bool writing = false;
  std::string received;
  std::array<char, 16384> chunk{};
  /// Encoded frames that wait to be written, and those being written.
  std::string pending_writes;
  std::string writing_buffer;
  absl::Time created;
  LivenessMonitor liveness;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_PEER_CHANNEL_H_
