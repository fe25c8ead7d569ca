#include "boragepaddle/transport/peer_listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace boragepaddle::transport {

PeerListener::PeerListener(Socket socket, AcceptHandler handler)
    : socket(std::move(socket)), handler(std::move(handler)) {
  this->thread = std::thread([this] { this->AcceptLoop(); });
}

PeerListener::~PeerListener() {
  this->socket.Shutdown();
  this->thread.join();
}

std::string PeerListener::address() const {
  return LocalAddress(this->socket);
}

void PeerListener::AcceptLoop() {
  while (true) {
    const int fd = accept4(this->socket.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      this->handler(Socket(fd));
      continue;
    }
    // After Shutdown of the listening socket, accept4 fails with EINVAL, which
    // ends the loop.
    if (errno != EINTR && errno != ECONNABORTED && errno != EMFILE) {
      return;
    }
  }
}

}  // namespace boragepaddle::transport
