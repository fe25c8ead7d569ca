#ifndef BORAGEPADDLE_TRANSPORT_HTTP_LISTENER_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_LISTENER_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/transport/http_message.h"
#include "boragepaddle/transport/transport_error.h"

namespace boragepaddle::transport {

/// Limits of an HTTP listener.
struct HttpListenerSettings {
  /// Limit on concurrent connections. Requests on further connections are
  /// answered by `overflow_handler`.
  size_t max_connections = 960;
  /// Number of threads that answer connections beyond the limit.
  size_t overflow_threads = 64;
  /// Time after which an idle connection is closed.
  absl::Duration idle_timeout = absl::Seconds(60);
  /// Timeout of a single read or write within a request or response.
  absl::Duration io_timeout = absl::Seconds(5);
  /// Longest time in which a whole request must arrive.
  absl::Duration request_timeout = absl::Seconds(10);
  size_t max_body_bytes = 4u << 20;
  /// Largest size of the request line and all headers together.
  size_t max_head_bytes = 64u << 10;
  /// Answers requests on connections beyond the limit.
  HttpHandler overflow_handler;
  /// Provides the headers of responses to requests that cannot be parsed. The
  /// status, set by the server, is 400, 404, 413 or 414.
  HttpHandler malformed_handler;
};

/// HTTP server based on cpp-httplib with one thread per connection.
class HttpListener {
 public:
  HttpListener(const HttpListenerSettings& settings, HttpHandler handler);
  ~HttpListener();

  /// Binds to the address and starts to serve. Returns the bound address, in
  /// which port 0 is replaced by the assigned port.
  base::Result<std::string, TransportError> Start(absl::string_view address);

  /// Stops accepting connections. Open ones are served until they close.
  void StopAccepting();

  /// Stops accepting connections and closes idle ones.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_LISTENER_H_
