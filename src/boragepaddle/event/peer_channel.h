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

/// What the owner of a channel wants to know.
struct PeerChannelEvents {
  std::function<void(const PeerChannelPtr&)> on_open;
  std::function<void(const PeerChannelPtr&, schema::Message&)> on_message;
  /// The peer, from which answers are awaited, gives no sign of life.
  std::function<void(const PeerChannelPtr&)> on_suspect;
  /// Once, after an open or a failed attempt to open.
  std::function<void(const PeerChannelPtr&)> on_closed;
};

/// One TCP connection between two nodes that carries msgpack frames.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  PeerChannel(boost::asio::io_context& loop, const PeerChannelEvents& events);

  /// Takes over an accepted connection.
  void Adopt(Tcp::socket socket);
  /// Connects to the address.
  void Connect(const Tcp::endpoint& endpoint);

  /// Queues a frame; false if the channel is closed or its queue is full.
  bool Send(const schema::Message& message);

  /// Closes; `on_closed` follows on the event loop.
  void Close();

  /// Sends heartbeats while `waiting`, reports a peer that is silent, and
  /// closes a channel that stays so.
  void Tick(absl::Time now, bool waiting);

  bool is_open() const { return this->opened && !this->closed; }
  bool is_closed() const { return this->closed; }
  /// Frames may have reached the other node.
  bool was_open() const { return this->opened; }

  /// The other node opened it.
  bool was_accepted() const { return this->accepted; }
  /// The attempt to connect was refused: no process listens there.
  bool was_refused() const { return this->refused; }

  /// Free for the owner: identity of the other node.
  std::string host;
  uint64_t number = 0;
  /// Process start of the other node; 0 before its hello.
  uint64_t peer_incarnation = 0;

 private:
  void OnOpened();
  void Read();
  void ProcessFrames();
  void Write();

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
  /// Encoded frames that wait, and those that are being written.
  std::string pending_writes;
  std::string writing_buffer;
  absl::Time created;
  LivenessMonitor liveness;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_PEER_CHANNEL_H_
