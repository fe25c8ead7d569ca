#ifndef BORAGEPADDLE_TRANSPORT_HTTP_STREAM_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

#include "absl/time/time.h"

namespace boragepaddle::transport {

/// Limits on each request on a stream.
struct HttpStreamLimits {
  /// Timeout of a single read or write within a request or response.
  absl::Duration io_timeout;
  /// Longest time in which a whole request must arrive.
  absl::Duration request_timeout;
  /// Largest size of a request, including its headers.
  size_t max_request_bytes = 0;
};

/// Buffered stream over a connected socket, for cpp-httplib's parser.
class HttpStream : public httplib::Stream {
 public:
  HttpStream(int fd, const HttpStreamLimits& limits);

  /// Waits for the first data of the next request and restarts the limits.
  /// Returns false on timeout or if polling fails.
  bool WaitForRequest(absl::Duration idle_timeout);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return this->fd; }

 private:
  static constexpr size_t kBufferBytes = 4096;

  absl::Duration ReadTimeout() const;
  bool Poll(int16_t events, absl::Duration timeout) const;

  const int fd;
  const HttpStreamLimits limits;
  absl::Time request_ends = absl::InfiniteFuture();
  size_t request_bytes = 0;
  std::array<char, kBufferBytes> buffer;
  size_t begin = 0;
  size_t end = 0;
};

/// Returns true while the peer has not closed its side of the connection.
bool IsConnected(int fd);

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_STREAM_H_
