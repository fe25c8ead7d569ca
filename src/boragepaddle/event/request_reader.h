#ifndef BORAGEPADDLE_EVENT_REQUEST_READER_H_
#define BORAGEPADDLE_EVENT_REQUEST_READER_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "absl/strings/string_view.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/request_body.h"

namespace boragepaddle::event {

/// Limits on one request.
struct RequestLimits {
  /// Limit on the start line, the header fields and the trailers, each.
  size_t max_header_bytes = 0;
  uint64_t max_body_bytes = 0;
};

/// A request that was read in full.
struct ReceivedRequest {
  HttpRequest request;
  /// Memory that the request occupies.
  MemoryReservation memory;
  bool keep_alive = false;
  /// The method is HEAD, so the response has no body.
  bool is_head = false;
};

/// Parses the requests of one connection from the bytes that arrive on it.
/// Holds the incomplete request, but not the bytes that it could not parse yet.
class RequestReader {
 public:
  enum class Result { kNeedMore, kComplete, kRefused };
  /// Resizes a reservation; false if there is not enough memory.
  using Reserve = std::function<bool(MemoryReservation&, uint64_t)>;

  RequestReader(MemoryBudget& budget, Reserve reserve);

  /// Parses from the front of the input and removes what it used. kNeedMore:
  /// the rest of the input must be passed again, with more bytes behind it.
  /// kComplete: Take returns the request. kRefused: `status` and `why` say how
  /// to answer it; nothing further can be read from the connection.
  Result Parse(absl::string_view& input, const RequestLimits& limits);

  /// Returns the complete request. The next call of Parse begins another one.
  ReceivedRequest Take();

  /// Discards the incomplete request and releases its memory.
  void Discard();

  uint32_t status() const { return this->refusal_status; }
  absl::string_view why() const { return this->refusal_reason; }

  /// True from the first byte of a request to its end.
  bool is_reading() const { return this->parser.has_value(); }
  /// True from the end of the head to the end of the request.
  bool is_reading_body() const;
  /// True if the client waits for 100 Continue before it sends the body.
  bool expects_continue() const;
  /// Bytes that are reserved for the incomplete request.
  uint64_t held_bytes() const { return this->memory.bytes(); }
  /// Head of the incomplete request; empty before its end.
  boost::optional<HttpRequest> Head() const;

 private:
  using Parser = boost::beast::http::request_parser<RequestBody>;
  using Message = boost::beast::http::request<RequestBody>;

  static HttpRequest MakeRequest(const Message& message);
  void Begin(const RequestLimits& limits);
  Result Refuse(uint32_t status, absl::string_view why);
  Result RefuseFor(const boost::system::error_code& error);
  /// Checks a head that was read in full.
  Result CheckHead();
  bool ReserveBody(uint64_t capacity);

  MemoryBudget& budget;
  Reserve reserve;
  boost::optional<Parser> parser;
  MemoryReservation memory;
  size_t head_bytes = 0;
  /// Bytes after the head, with the framing of chunks.
  uint64_t body_wire_bytes = 0;
  uint32_t refusal_status = 0;
  absl::string_view refusal_reason;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_REQUEST_READER_H_
