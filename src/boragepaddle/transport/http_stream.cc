#include "boragepaddle/transport/http_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::transport {

namespace {

void ToIpAndPort(const sockaddr_in& address, std::string& ip, int& port) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  ip = text;
  port = ntohs(address.sin_port);
}

}  // namespace

HttpStream::HttpStream(int fd, const HttpStreamLimits& limits)
    : fd(fd), limits(limits) {}

bool HttpStream::WaitForRequest(absl::Duration idle_timeout) {
  const bool readable =
      this->begin < this->end || this->Poll(POLLIN, idle_timeout);
  this->request_ends = MonotonicNow() + this->limits.request_timeout;
  this->request_bytes = 0;
  return readable;
}

// The deadline of the whole request also applies: with the I/O timeout alone, a
// client that sends single bytes slowly would block its thread indefinitely.
absl::Duration HttpStream::ReadTimeout() const {
  return std::max(
      absl::ZeroDuration(),
      std::min(this->limits.io_timeout, this->request_ends - MonotonicNow()));
}

bool HttpStream::is_readable() const {
  return this->begin < this->end || this->Poll(POLLIN, this->ReadTimeout());
}

bool HttpStream::is_writable() const {
  return this->Poll(POLLOUT, this->limits.io_timeout);
}

ssize_t HttpStream::read(char* data, size_t size) {
  if (this->begin == this->end) {
    if (this->request_bytes >= this->limits.max_request_bytes) {
      return -1;
    }
    if (!this->Poll(POLLIN, this->ReadTimeout())) {
      return -1;
    }
    const ssize_t count =
        recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
    if (count <= 0) {
      return count;
    }
    this->request_bytes += static_cast<size_t>(count);
    this->begin = 0;
    this->end = static_cast<size_t>(count);
  }
  const size_t taken = std::min(size, this->end - this->begin);
  std::memcpy(data, this->buffer.data() + this->begin, taken);
  this->begin += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t HttpStream::write(const char* data, size_t size) {
  if (!this->is_writable()) {
    return -1;
  }
  return send(this->fd, data, size, MSG_NOSIGNAL);
}

void HttpStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getpeername(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
  ToIpAndPort(address, ip, port);
}

void HttpStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
  ToIpAndPort(address, ip, port);
}

bool HttpStream::Poll(int16_t events, absl::Duration timeout) const {
  pollfd entry{this->fd, events, 0};
  const auto milliseconds =
      static_cast<int>(absl::ToInt64Milliseconds(timeout));
  int ready = 0;
  do {
    ready = poll(&entry, 1, milliseconds);
  } while (ready < 0 && errno == EINTR);
  return ready == 1;
}

bool IsConnected(int fd) {
  pollfd entry{fd, POLLRDHUP, 0};
  return poll(&entry, 1, 0) == 0;
}

}  // namespace boragepaddle::transport
