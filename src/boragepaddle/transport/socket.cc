#include "boragepaddle/transport/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace boragepaddle::transport {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kMaxPort = 65535;

base::Result<sockaddr_in, TransportError> ToSockaddr(
    absl::string_view address) {
  auto parsed = ParseAddress(address);
  if (!parsed) {
    return parsed.error();
  }
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(parsed.value().port));
  if (inet_pton(AF_INET, parsed.value().host.c_str(), &result.sin_addr) != 1) {
    return TransportError{TransportErrorCode::kBadAddress, 0};
  }
  return result;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

TransportError LastError(TransportErrorCode code) {
  return TransportError{code, errno};
}

bool FinishConnect(int fd, absl::Duration timeout) {
  pollfd entry{fd, POLLOUT, 0};
  const auto milliseconds =
      static_cast<int>(absl::ToInt64Milliseconds(timeout));
  if (poll(&entry, 1, milliseconds) != 1) {
    errno = ETIMEDOUT;
    return false;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
  errno = error;
  return error == 0;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(this->fd, other.fd);
  return *this;
}

Socket::~Socket() {
  if (this->fd >= 0) {
    close(this->fd);
  }
}

void Socket::Shutdown() {
  if (this->fd >= 0) {
    shutdown(this->fd, SHUT_RDWR);
  }
}

int Socket::Release() {
  return std::exchange(this->fd, -1);
}

base::Result<HostPort, TransportError> ParseAddress(absl::string_view address) {
  const size_t colon = address.rfind(':');
  HostPort result;
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &result.port) ||
      result.port < 0 || result.port > kMaxPort) {
    return TransportError{TransportErrorCode::kBadAddress, 0};
  }
  result.host = std::string(address.substr(0, colon));
  return result;
}

base::Result<Socket, TransportError> Listen(absl::string_view address) {
  auto target = ToSockaddr(address);
  if (!target) {
    return target.error();
  }
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto* raw = reinterpret_cast<const sockaddr*>(&target.value());
  if (bind(socket.get(), raw, sizeof(sockaddr_in)) != 0 ||
      listen(socket.get(), kListenBacklog) != 0) {
    return LastError(TransportErrorCode::kCannotListen);
  }
  return socket;
}

base::Result<Socket, TransportError> Connect(absl::string_view address,
                                             absl::Duration timeout) {
  auto target = ToSockaddr(address);
  if (!target) {
    return target.error();
  }
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const auto* raw = reinterpret_cast<const sockaddr*>(&target.value());
  const int status = connect(socket.get(), raw, sizeof(sockaddr_in));
  if (status != 0 &&
      (errno != EINPROGRESS || !FinishConnect(socket.get(), timeout))) {
    return LastError(TransportErrorCode::kCannotConnect);
  }
  const int flags = fcntl(socket.get(), F_GETFL);
  fcntl(socket.get(), F_SETFL, flags & ~O_NONBLOCK);
  SetNoDelay(socket.get());
  return socket;
}

std::string LocalAddress(const Socket& socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &length);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return absl::StrCat(text, ":", ntohs(address.sin_port));
}

}  // namespace boragepaddle::transport
