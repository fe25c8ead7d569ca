#ifndef BORAGEPADDLE_TRANSPORT_PEER_LISTENER_H_
#define BORAGEPADDLE_TRANSPORT_PEER_LISTENER_H_

#include <functional>
#include <string>
#include <thread>

#include "boragepaddle/transport/socket.h"

namespace boragepaddle::transport {

/// Accepts connections from other nodes on its own thread.
class PeerListener {
 public:
  using AcceptHandler = std::function<void(Socket)>;

  PeerListener(Socket socket, AcceptHandler handler);
  ~PeerListener();

  /// Returns the address on which it listens.
  std::string address() const;

 private:
  void AcceptLoop();

  Socket socket;
  AcceptHandler handler;
  std::thread thread;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_PEER_LISTENER_H_
