#ifndef BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/transport/http_message.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::transport {

/// Settings of a client connection.
struct HttpClientSettings {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Limit on a response body. No larger one fits into a frame between nodes.
  uint64_t max_body_bytes = 8u << 20;
};

/// Bytes of incomplete responses over several connections. Thread-safe.
class ResponseMemory {
 public:
  /// `limit` is in bytes.
  explicit ResponseMemory(uint64_t limit) : limit(limit) {}

  /// Changes the bytes that one response holds, `held`; false without a change
  /// if there is no room for more.
  bool Resize(uint64_t& held, uint64_t bytes);

 private:
  const uint64_t limit;
  std::atomic<uint64_t> used{0};
};

/// Why there is no response.
enum class HttpFailure : uint8_t {
  kNone,
  /// Nothing was sent.
  kNotConnected,
  /// The connection ended early, or what was received is no valid response.
  kBroken,
  /// No complete response in time.
  kTimeout,
  /// No room for the response in the memory of all responses.
  kNoMemory,
};

/// A complete response, or the reason why there is none.
struct HttpResponse {
  HttpFailure failure = HttpFailure::kNone;
  uint32_t status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Value of the first header field with the name; null if there is none.
const std::string* FindHeader(const HttpResponse& response,
                              absl::string_view name);

/// HTTP/1.1 connection to one server for one request at a time, with blocking
/// calls. Takes only responses whose end is stated by a length or by chunks.
class HttpClientConnection {
 public:
  /// `address` is the server's `host:port`.
  HttpClientConnection(absl::string_view address,
                       const HttpClientSettings& settings,
                       ResponseMemory& memory);

  /// Sends a POST request, opening the connection if it is not open, and waits
  /// for the response. Never sends again.
  HttpResponse Post(absl::string_view path,
                    absl::Span<const HttpHeader> headers,
                    absl::string_view body,
                    absl::Duration timeout);

  /// True if the last response was complete and allows another request.
  bool is_reusable() const { return this->reusable; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  /// False if the server has closed the connection or sent data that belongs to
  /// no request.
  bool IsIdle() const;
  HttpFailure Write(absl::string_view data, absl::Time deadline);
  /// Reads the next final response, which then no longer holds memory.
  HttpResponse Read(absl::Time deadline);
  /// Reads one response, which may be an interim one.
  HttpFailure Parse(Parser& parser, absl::Time deadline);
  /// Adds what the server has sent to the buffer.
  HttpFailure Receive(absl::Time deadline);
  /// Waits for the events of poll(2).
  HttpFailure Wait(int16_t events, absl::Time deadline) const;

  const std::string address;
  const HttpClientSettings settings;
  ResponseMemory& memory;
  /// Bytes of `memory` that the incomplete response holds.
  uint64_t held_bytes = 0;
  Socket socket;
  boost::beast::flat_buffer buffer;
  bool reusable = false;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_CONNECTION_H_
