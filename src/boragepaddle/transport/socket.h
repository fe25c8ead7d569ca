#ifndef BORAGEPADDLE_TRANSPORT_SOCKET_H_
#define BORAGEPADDLE_TRANSPORT_SOCKET_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/transport/transport_error.h"

namespace boragepaddle::transport {

/// Owns a socket's file descriptor and closes it on destruction.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd(fd) {}
  Socket(Socket&& other) noexcept : fd(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  int get() const { return this->fd; }

  /// Shuts down both directions, which wakes threads blocked on the socket.
  void Shutdown();

 private:
  int Release();

  int fd = -1;
};

/// IPv4 address and port.
struct HostPort {
  std::string host;
  int port = 0;
};

/// Parses `host:port`. Does not check that the host is an IPv4 address.
base::Result<HostPort, TransportError> ParseAddress(absl::string_view address);

/// Opens a listening TCP socket. With port 0 the kernel assigns a free port.
base::Result<Socket, TransportError> Listen(absl::string_view address);

/// Opens a TCP connection; fails if this takes longer than the timeout.
base::Result<Socket, TransportError> Connect(absl::string_view address,
                                             absl::Duration timeout);

/// Returns the local address of a socket as `host:port`.
std::string LocalAddress(const Socket& socket);

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_SOCKET_H_
