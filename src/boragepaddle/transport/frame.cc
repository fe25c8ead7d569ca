#include "boragepaddle/transport/frame.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::transport {

namespace {

TransportErrorCode CodeForErrno(int error) {
  const bool timed_out = error == EAGAIN || error == EWOULDBLOCK;
  return timed_out ? TransportErrorCode::kTimeout : TransportErrorCode::kClosed;
}

bool WaitReadable(int fd, absl::Time give_up_at) {
  if (give_up_at == absl::InfiniteFuture()) {
    return true;
  }
  const absl::Duration left = give_up_at - MonotonicNow();
  pollfd entry{fd, POLLIN, 0};
  const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(left));
  const int ready = poll(&entry, 1, std::max(milliseconds, 0));
  if (ready == 0) {
    errno = EAGAIN;
  }
  return ready == 1 || (ready < 0 && errno == EINTR);
}

bool ReadAll(int fd, char* data, size_t size, absl::Time give_up_at) {
  size_t done = 0;
  while (done < size) {
    if (!WaitReadable(fd, give_up_at)) {
      return false;
    }
    const ssize_t count = recv(fd, data + done, size - done, 0);
    if (count > 0) {
      done += static_cast<size_t>(count);
      continue;
    }
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count == 0) {
      errno = 0;
    }
    return false;
  }
  return true;
}

bool WriteAll(int fd, const char* data, size_t size) {
  size_t done = 0;
  while (done < size) {
    const ssize_t count = send(fd, data + done, size - done, MSG_NOSIGNAL);
    if (count >= 0) {
      done += static_cast<size_t>(count);
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

}  // namespace

base::Result<std::string, TransportError> ReadFrame(const Socket& socket,
                                                    size_t max_bytes,
                                                    absl::Time give_up_at) {
  uint32_t length = 0;
  if (!ReadAll(socket.get(), reinterpret_cast<char*>(&length), sizeof(length),
               give_up_at)) {
    return TransportError{CodeForErrno(errno), errno};
  }
  const size_t size = ntohl(length);
  if (size > max_bytes) {
    return TransportError{TransportErrorCode::kFrameTooLarge, 0};
  }
  std::string payload(size, '\0');
  if (!ReadAll(socket.get(), payload.data(), size, give_up_at)) {
    return TransportError{CodeForErrno(errno), errno};
  }
  return payload;
}

base::Result<size_t, TransportError> WriteFrame(const Socket& socket,
                                                absl::string_view payload) {
  if (payload.size() > kMaxFrameBytes) {
    return TransportError{TransportErrorCode::kFrameTooLarge, 0};
  }
  // Length and payload go into one send call, so that a small frame is sent in
  // one TCP segment.
  const uint32_t length = htonl(static_cast<uint32_t>(payload.size()));
  std::string frame(sizeof(length) + payload.size(), '\0');
  std::memcpy(frame.data(), &length, sizeof(length));
  std::memcpy(frame.data() + sizeof(length), payload.data(), payload.size());
  if (!WriteAll(socket.get(), frame.data(), frame.size())) {
    return TransportError{CodeForErrno(errno), errno};
  }
  return frame.size();
}

}  // namespace boragepaddle::transport
