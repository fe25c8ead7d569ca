#include "boragepaddle/event/request_reader.h"

#include <boost/beast/http/error.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace http = boost::beast::http;

namespace {

/// Framing bytes of chunks that a client may send for each byte of its body.
/// Chunks of five bytes or more need no more than this.
constexpr uint64_t kMaxFramingRatio = 1;

/// Framing bytes that are allowed beyond the ratio: enough for 256 KiB in
/// chunks of one byte, and parsed in a few milliseconds.
constexpr uint64_t kFreeFramingBytes = 1u << 20;

/// A header field is held twice while the request is built: by the parser, and
/// as an HttpField, which is about as large again.
constexpr uint64_t kHeadCopies = 2;

absl::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// True if a Connection header lists the field, which makes it hop-by-hop.
bool IsNamedByConnection(const http::fields& fields, absl::string_view name) {
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    for (const absl::string_view token :
         absl::StrSplit(ToView(field->value()), ',')) {
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(token), name)) {
        return true;
      }
    }
  }
  return false;
}

bool IsValid(const http::request<RequestBody>& message) {
  return !message.target().empty() && message.target().front() == '/' &&
         message.count(http::field::host) == 1;
}

/// True if the text begins with the last chunk of a body, which has a length of
/// zero, and goes on after its line: with trailers.
bool IsInTrailers(absl::string_view text) {
  absl::ConsumePrefix(&text, "\r\n");
  const size_t digits = text.find_first_not_of('0');
  if (digits == 0 || digits == absl::string_view::npos ||
      absl::ascii_isxdigit(static_cast<unsigned char>(text[digits]))) {
    return false;
  }
  return absl::StrContains(text, "\r\n");
}

}  // namespace

RequestReader::RequestReader(MemoryBudget& budget, Reserve reserve)
    : budget(budget), reserve(std::move(reserve)) {}

void RequestReader::Begin(const RequestLimits& limits) {
  this->parser.emplace();
  this->parser->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(limits.max_body_bytes);
  this->memory = MemoryReservation(this->budget);
  this->head_bytes = 0;
  this->body_wire_bytes = 0;
  RequestBody::value_type& body = this->parser->get().body();
  body.max_bytes = limits.max_body_bytes;
  body.reserve = [this](uint64_t capacity) {
    return this->ReserveBody(capacity);
  };
}

bool RequestReader::ReserveBody(uint64_t capacity) {
  return this->reserve(this->memory, kHeadCopies * this->head_bytes + capacity);
}

RequestReader::Result RequestReader::Parse(absl::string_view& input,
                                           const RequestLimits& limits) {
  while (!input.empty()) {
    if (!this->parser) {
      this->Begin(limits);
    }
    const bool was_in_body = this->parser->is_header_done();
    boost::system::error_code error;
    const size_t used = this->parser->put(
        boost::asio::const_buffer(input.data(), input.size()), error);
    input.remove_prefix(used);
    (was_in_body ? this->body_wire_bytes : this->head_bytes) += used;
    if (error == http::error::need_more) {
      if (was_in_body && input.size() > limits.max_header_bytes) {
        return IsInTrailers(input)
                   ? this->Refuse(431, "trailers_too_large")
                   : this->Refuse(400, "chunk_header_too_large");
      }
      return Result::kNeedMore;
    }
    if (error) {
      return this->RefuseFor(error);
    }
    if (!was_in_body) {
      if (this->parser->is_header_done() &&
          this->CheckHead() == Result::kRefused) {
        return Result::kRefused;
      }
    } else if (this->parser->chunked()) {
      // The last chunk is parsed in one step together with its trailers.
      if (this->parser->is_done() && used > limits.max_header_bytes) {
        return this->Refuse(431, "trailers_too_large");
      }
      const uint64_t body_bytes = this->parser->get().body().text.size();
      if (this->body_wire_bytes - body_bytes >
          kFreeFramingBytes + kMaxFramingRatio * body_bytes) {
        return this->Refuse(400, "too_much_framing");
      }
    }
    if (this->parser->is_done()) {
      return IsValid(this->parser->get())
                 ? Result::kComplete
                 : this->Refuse(400, "bad_target_or_host");
    }
  }
  return Result::kNeedMore;
}

RequestReader::Result RequestReader::CheckHead() {
  const auto length = this->parser->content_length();
  // The whole length is reserved before the body is read, so that a request
  // that is accepted is not refused later for those that come after it.
  if (!this->ReserveBody(length.value_or(0))) {
    return this->Refuse(503, "no_memory");
  }
  return Result::kNeedMore;
}

RequestReader::Result RequestReader::Refuse(uint32_t status,
                                            absl::string_view why) {
  this->refusal_status = status;
  this->refusal_reason = why;
  return Result::kRefused;
}

RequestReader::Result RequestReader::RefuseFor(
    const boost::system::error_code& error) {
  if (error == boost::asio::error::no_buffer_space) {
    return this->Refuse(503, "no_memory");
  }
  if (error == http::error::header_limit) {
    return this->Refuse(431, "header_too_large");
  }
  if (error == http::error::body_limit) {
    return this->Refuse(413, "body_too_large");
  }
  return this->Refuse(400, "malformed");
}

HttpRequest RequestReader::MakeRequest(const Message& message) {
  HttpRequest request;
  request.method = std::string(ToView(message.method_string()));
  request.target = std::string(ToView(message.target()));
  request.host = std::string(ToView(message[http::field::host]));
  for (const auto& field : message) {
    const absl::string_view name = ToView(field.name_string());
    if (!IsConnectionField(name) && field.name() != http::field::host &&
        !IsNamedByConnection(message, name)) {
      request.fields.push_back(
          {std::string(name), std::string(ToView(field.value()))});
    }
  }
  request.received = BootNow();
  return request;
}

ReceivedRequest RequestReader::Take() {
  Message message = this->parser->release();
  ReceivedRequest received;
  received.request = MakeRequest(message);
  received.request.body = std::move(message.body().text);
  received.memory = std::move(this->memory);
  received.keep_alive = message.keep_alive();
  received.is_head = message.method() == http::verb::head;
  this->parser.reset();
  return received;
}

void RequestReader::Discard() {
  this->parser.reset();
  this->memory.Release();
}

bool RequestReader::is_reading_body() const {
  return this->parser && this->parser->is_header_done();
}

bool RequestReader::expects_continue() const {
  return this->is_reading_body() &&
         absl::EqualsIgnoreCase(
             ToView(this->parser->get()[http::field::expect]), "100-continue");
}

boost::optional<HttpRequest> RequestReader::Head() const {
  if (!this->is_reading_body()) {
    return boost::none;
  }
  return MakeRequest(this->parser->get());
}

}  // namespace boragepaddle::event
