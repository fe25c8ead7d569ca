#include "boragepaddle/transport/http_client_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <limits>
#include <sstream>
#include <utility>

#include "absl/strings/match.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::transport {

namespace http = boost::beast::http;

namespace {

using Parser = http::response_parser<http::string_body>;

constexpr unsigned kHttp11 = 11;
constexpr size_t kReceiveBytes = 64u << 10;

/// Limit on bytes that were received and not parsed. The parser takes heads of
/// at most 8 KiB; this bounds trailers and chunk extensions without end.
constexpr size_t kMaxUnparsedBytes = 128u << 10;

/// Limit on interim responses (1xx) to one request.
constexpr uint32_t kMaxInterimResponses = 16;

/// Range of the statuses of final responses.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;

boost::beast::string_view ToBeast(absl::string_view text) {
  return {text.data(), text.size()};
}

std::string ToString(boost::beast::string_view text) {
  return std::string(text.data(), text.size());
}

std::string MakePost(absl::string_view address,
                     absl::string_view path,
                     absl::Span<const HttpHeader> headers,
                     absl::string_view body) {
  http::request<http::string_body> request(http::verb::post, ToBeast(path),
                                           kHttp11);
  request.set(http::field::host, ToBeast(address));
  request.set(http::field::content_type, "application/octet-stream");
  for (const HttpHeader& header : headers) {
    request.insert(header.name, header.value);
  }
  request.body() = std::string(body);
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

HttpResponse Failure(HttpFailure failure) {
  HttpResponse response;
  response.failure = failure;
  return response;
}

bool IsInterim(const Parser& parser) {
  return parser.get().result_int() / 100 == 1;
}

/// True if the head is that of an interim response, or of a final one whose end
/// can be told.
bool IsAcceptable(const Parser& parser, uint64_t max_body_bytes) {
  const unsigned status = parser.get().result_int();
  const auto length = parser.content_length();
  return IsInterim(parser) ||
         (status >= kMinFinalStatus && status <= kMaxFinalStatus &&
          !parser.need_eof() && (!length || *length <= max_body_bytes));
}

HttpResponse TakeResponse(Parser& parser) {
  HttpResponse response;
  response.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    response.headers.push_back(
        {ToString(field.name_string()), ToString(field.value())});
  }
  response.body = std::move(parser.get().body());
  return response;
}

}  // namespace

const std::string* FindHeader(const HttpResponse& response,
                              absl::string_view name) {
  for (const HttpHeader& header : response.headers) {
    if (absl::EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

bool ResponseMemory::Resize(uint64_t& held, uint64_t bytes) {
  if (bytes <= held) {
    this->used -= held - bytes;
    held = bytes;
    return true;
  }
  const uint64_t more = bytes - held;
  if (this->used.fetch_add(more) + more > this->limit) {
    this->used -= more;
    return false;
  }
  held = bytes;
  return true;
}

HttpClientConnection::HttpClientConnection(absl::string_view address,
                                           const HttpClientSettings& settings,
                                           ResponseMemory& memory)
    : address(address), settings(settings), memory(memory) {}

HttpResponse HttpClientConnection::Post(absl::string_view path,
                                        absl::Span<const HttpHeader> headers,
                                        absl::string_view body,
                                        absl::Duration timeout) {
  const absl::Time deadline = MonotonicNow() + timeout;
  if (!this->reusable || !this->IsIdle()) {
    auto connected = Connect(this->address,
                             std::min(timeout, this->settings.connect_timeout));
    if (!connected) {
      this->reusable = false;
      return Failure(HttpFailure::kNotConnected);
    }
    this->socket = std::move(connected.value());
    this->buffer.clear();
  }
  this->reusable = false;
  const HttpFailure failure =
      this->Write(MakePost(this->address, path, headers, body), deadline);
  if (failure != HttpFailure::kNone) {
    return Failure(failure);
  }
  HttpResponse response = this->Read(deadline);
  this->memory.Resize(this->held_bytes, 0);
  return response;
}

bool HttpClientConnection::IsIdle() const {
  char byte = 0;
  const ssize_t count =
      recv(this->socket.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

HttpFailure HttpClientConnection::Wait(int16_t events,
                                       absl::Time deadline) const {
  while (true) {
    const absl::Duration left = deadline - MonotonicNow();
    if (left <= absl::ZeroDuration()) {
      return HttpFailure::kTimeout;
    }
    // Rounded up, so that a timeout is not taken for a broken connection, which
    // would mark the request as a crash suspect.
    const int64_t ms = std::min<int64_t>(absl::ToInt64Milliseconds(left) + 1,
                                         std::numeric_limits<int>::max());
    pollfd entry{this->socket.get(), events, 0};
    const int ready = poll(&entry, 1, static_cast<int>(ms));
    if (ready > 0) {
      return HttpFailure::kNone;
    }
    if (ready < 0 && errno != EINTR) {
      return HttpFailure::kBroken;
    }
  }
}

HttpFailure HttpClientConnection::Write(absl::string_view data,
                                        absl::Time deadline) {
  while (!data.empty()) {
    const ssize_t count = send(this->socket.get(), data.data(), data.size(),
                               MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count >= 0) {
      data.remove_prefix(static_cast<size_t>(count));
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      return HttpFailure::kBroken;
    }
    const HttpFailure failure = this->Wait(POLLOUT, deadline);
    if (failure != HttpFailure::kNone) {
      return failure;
    }
  }
  return HttpFailure::kNone;
}

HttpFailure HttpClientConnection::Receive(absl::Time deadline) {
  if (this->buffer.size() >= kMaxUnparsedBytes) {
    return HttpFailure::kBroken;
  }
  while (true) {
    const HttpFailure failure = this->Wait(POLLIN, deadline);
    if (failure != HttpFailure::kNone) {
      return failure;
    }
    const auto space = this->buffer.prepare(kReceiveBytes);
    const ssize_t count =
        recv(this->socket.get(), space.data(), space.size(), MSG_DONTWAIT);
    if (count > 0) {
      this->buffer.commit(static_cast<size_t>(count));
      return HttpFailure::kNone;
    }
    if (count == 0 ||
        (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
      return HttpFailure::kBroken;
    }
  }
}

HttpResponse HttpClientConnection::Read(absl::Time deadline) {
  for (uint32_t interim = 0; interim <= kMaxInterimResponses; ++interim) {
    Parser parser;
    const HttpFailure failure = this->Parse(parser, deadline);
    if (failure != HttpFailure::kNone) {
      return Failure(failure);
    }
    if (!IsInterim(parser)) {
      this->reusable = parser.keep_alive() && this->buffer.size() == 0;
      return TakeResponse(parser);
    }
  }
  return Failure(HttpFailure::kBroken);
}

HttpFailure HttpClientConnection::Parse(Parser& parser, absl::Time deadline) {
  parser.body_limit(this->settings.max_body_bytes);
  // The head is parsed by itself, since in eager mode Beast 1.74 reserves
  // memory for the whole Content-Length before it checks the limit.
  parser.eager(false);
  bool needs_input = this->buffer.size() == 0;
  while (!parser.is_done()) {
    if (needs_input) {
      const HttpFailure failure = this->Receive(deadline);
      if (failure != HttpFailure::kNone) {
        return failure;
      }
    }
    boost::system::error_code error;
    this->buffer.consume(parser.put(this->buffer.data(), error));
    if (error && error != http::error::need_more) {
      return HttpFailure::kBroken;
    }
    if (parser.is_header_done() &&
        !IsAcceptable(parser, this->settings.max_body_bytes)) {
      return HttpFailure::kBroken;
    }
    parser.eager(parser.is_header_done());
    if (!this->memory.Resize(this->held_bytes, parser.get().body().size())) {
      return HttpFailure::kNoMemory;
    }
    needs_input = error == http::error::need_more || this->buffer.size() == 0;
  }
  return HttpFailure::kNone;
}

}  // namespace boragepaddle::transport
