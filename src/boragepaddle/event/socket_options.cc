#include "boragepaddle/event/socket_options.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <cerrno>

#include "absl/strings/numbers.h"

namespace boragepaddle::event {

namespace {

/// Idle time before the first keep-alive probe, and interval between probes.
constexpr int kKeepAliveSeconds = 1;
/// Unanswered probes after which the kernel closes the connection.
constexpr int kKeepAliveProbes = 2;
/// Longest time for which sent data may stay unacknowledged, or the peer's
/// receive window closed.
constexpr unsigned kUserTimeoutMs = 3000;

void SetInt(int fd, int level, int option, int value) {
  // Best effort: on a platform without the option a dead peer is detected
  // later, by the timeouts of the protocol above the socket.
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

void SetTcpLivenessOptions(Tcp::socket& socket) {
  const int fd = socket.native_handle();
  SetInt(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetInt(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetInt(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetInt(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetInt(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void SetTcpPeerOptions(Tcp::socket& socket) {
  SetTcpLivenessOptions(socket);
  SetInt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

boost::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == absl::string_view::npos) {
    return boost::none;
  }
  uint32_t port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65535) {
    return boost::none;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), error);
  if (error) {
    return boost::none;
  }
  return Tcp::endpoint(ip, static_cast<uint16_t>(port));
}

SocketState PeekSocket(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return SocketState::kData;
  }
  const bool nothing =
      count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing ? SocketState::kNoData : SocketState::kClosed;
}

// A reset is reported too: poll(2) always adds POLLERR and POLLHUP.
bool HasPeerClosed(Tcp::socket& socket) {
  pollfd entry{socket.native_handle(), POLLRDHUP, 0};
  return poll(&entry, 1, /*timeout=*/0) > 0;
}

}  // namespace boragepaddle::event
