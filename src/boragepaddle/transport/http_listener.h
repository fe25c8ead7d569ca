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
  /// Connections served at once; further ones get the overflow reply.
  size_t max_connections = 960;
  /// Threads that answer connections beyond the limit.
  size_t overflow_threads = 64;
  /// An idle connection is closed after this time.
  absl::Duration idle_timeout = absl::Seconds(60);
  /// A client that pauses longer inside a request is disconnected.
  absl::Duration io_timeout = absl::Seconds(5);
  /// A request that takes longer to arrive is refused.
  absl::Duration request_timeout = absl::Seconds(10);
  size_t max_body_bytes = 4u << 20;
  /// Request line and all headers together.
  size_t max_head_bytes = 64u << 10;
  /// Answers requests on connections beyond the limit.
  HttpHandler overflow_handler;
  /// Gives the headers of answers to requests that cannot be parsed; the
  /// status is 400, 404, 413 or 414.
  HttpHandler malformed_handler;
};

/// HTTP server on cpp-httplib with a thread for each connection.
class HttpListener {
 public:
  HttpListener(const HttpListenerSettings& settings, HttpHandler handler);
  ~HttpListener();

  /// Binds and starts to serve; returns the address with the real port.
  base::Result<std::string, TransportError> Start(absl::string_view address);

  /// Refuses new connections; open ones are served until they close.
  void StopAccepting();

  /// Stops accepting and closes idle connections.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_LISTENER_H_
