#include "boragepaddle/event/worker_connection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::event {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;

/// Largest response body accepted from a worker.
constexpr uint64_t kMaxResponseBytes = 64u << 20;

/// Limit on bytes that were received and not parsed: heads are at most 8 KiB,
/// which is the limit of the parser, and body bytes are moved on at once.
/// Bounds trailers and chunk extensions without end.
constexpr size_t kMaxUnparsedBytes = 128u << 10;

/// Limit on interim responses (1xx) to one request.
constexpr uint32_t kMaxInterimResponses = 16;

/// Range of the statuses of final responses.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxFinalStatus = 599;

/// At least this many ids of previous requests are remembered.
constexpr size_t kMinRememberedRequestIds = 1024;

/// Limit on skipped duplicate responses to previous requests.
constexpr uint32_t kMaxSkippedResponses = 3;

/// Idle connections are closed this long before the worker's idle timeout,
/// because the worker might close them while a request is being sent.
constexpr absl::Duration kIdleMargin = absl::Seconds(1);
/// Longest idle time if the worker states no timeout.
constexpr absl::Duration kDefaultIdleTimeout = absl::Seconds(4);

absl::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

boost::beast::string_view ToBeast(absl::string_view text) {
  return {text.data(), text.size()};
}

/// Idle timeout from the worker's `Keep-Alive: timeout=N` header.
absl::Duration IdleTimeout(const http::fields& fields) {
  for (absl::string_view part :
       absl::StrSplit(ToView(fields[http::field::keep_alive]), ',')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    int64_t seconds = 0;
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(pair.first),
                               "timeout") &&
        absl::SimpleAtoi(pair.second, &seconds)) {
      return absl::Seconds(seconds);
    }
  }
  return kDefaultIdleTimeout + kIdleMargin;
}

WorkerResult Failure(WorkerOutcome outcome) {
  WorkerResult result;
  result.outcome = outcome;
  return result;
}

std::vector<schema::HttpField> CopyFields(const http::fields& fields) {
  std::vector<schema::HttpField> copied;
  for (const auto& field : fields) {
    const absl::string_view name = ToView(field.name_string());
    if (!IsConnectionField(name)) {
      copied.push_back({std::string(name), std::string(ToView(field.value()))});
    }
  }
  return copied;
}

}  // namespace

WorkerConnection::WorkerConnection(WorkerConnectionPool& pool,
                                   const Tcp::endpoint& worker)
    : pool(pool),
      endpoint(worker),
      socket(pool.loop),
      buffer(kMaxUnparsedBytes),
      reservation(pool.memory) {}

void WorkerConnection::Run(uint64_t id,
                           WorkerRequest message,
                           WorkerConnectionPool::Done done) {
  this->is_idle = false;
  this->call_id = id;
  this->request_id = std::move(message.request_id);
  this->done = std::move(done);
  this->sent_any = false;
  this->written = false;
  this->ended_while_sending = false;
  this->skipped_responses = 0;
  this->interim_responses = 0;
  this->request.emplace();
  this->request->version(kHttp11);
  this->request->method_string(ToBeast(message.method));
  this->request->target(ToBeast(message.target));
  this->request->set(http::field::host, ToBeast(message.host));
  for (const schema::HttpField& field : message.fields) {
    this->request->insert(ToBeast(field.name), ToBeast(field.value));
  }
  this->request_body = std::move(message.body);
  this->shared_request_body = std::move(message.shared_body);
  const std::string& body = this->shared_request_body == nullptr
                                ? this->request_body
                                : *this->shared_request_body;
  this->request->body() = {body.data(), body.size()};
  this->request->prepare_payload();
  if (this->connected) {
    this->Write();
    return;
  }
  this->Connect();
}

void WorkerConnection::Connect() {
  auto self = this->shared_from_this();
  this->socket.async_connect(this->endpoint,
                             [self](const boost::system::error_code& error) {
                               if (self->closed) {
                                 return;
                               }
                               if (error) {
                                 self->Finish(Failure(WorkerOutcome::kNotSent),
                                              /*reusable=*/false);
                                 return;
                               }
                               self->connected = true;
                               self->opened_at = BootNow();
                               SetTcpLivenessOptions(self->socket);
                               self->Write();
                             });
}

void WorkerConnection::Write() {
  this->sent_any = true;
  this->sending = true;
  auto self = this->shared_from_this();
  http::async_write(this->socket, *this->request,
                    [self](const boost::system::error_code& error, size_t) {
                      self->sending = false;
                      self->written = !error;
                      self->ReleaseRequestBody();
                      if (self->ended_while_sending && !self->closed) {
                        self->OnAnswer();
                      }
                    });
  this->Read();
}

void WorkerConnection::Read() {
  this->parser.emplace();
  this->parser->body_limit(kMaxResponseBytes);
  // Reads the header separately. In eager mode Beast 1.74 reserves memory for
  // the whole Content-Length even if it exceeds the body limit.
  this->parser->eager(false);
  if (this->request->method() == http::verb::head) {
    this->parser->skip(true);
  }
  this->ReadSome();
}

// Reads in parts, so that the pool's limit on buffered bytes applies to
// endless responses before they reach the largest size allowed.
void WorkerConnection::ReadSome() {
  auto self = this->shared_from_this();
  http::async_read_some(
      this->socket, this->buffer, *this->parser,
      [self](const boost::system::error_code& error, size_t) {
        if (error || self->closed || self->is_idle || self->parser->is_done()) {
          self->OnRead(error);
          return;
        }
        if (self->parser->is_header_done()) {
          self->parser->eager(true);
        }
        self->UpdateBufferedBytes();
        if (!self->closed) {
          self->ReadSome();
        }
      });
}

void WorkerConnection::UpdateBufferedBytes() {
  const uint64_t before = this->buffered;
  this->buffered = this->parser->get().body().size() + this->buffer.size();
  this->pool.OnBufferedBytesChanged(before, this->buffered);
  if (!this->closed && !this->reservation.Resize(this->buffered)) {
    this->Finish(Failure(WorkerOutcome::kNoMemory), /*reusable=*/false);
  }
}

void WorkerConnection::ReleaseRequestBody() {
  this->request_body = std::string();
  this->shared_request_body.reset();
}

void WorkerConnection::AbortResponse() {
  if (this->closed || !this->done) {
    return;
  }
  this->Finish(Failure(WorkerOutcome::kInvalidResponse),
               /*reusable=*/false);
}

void WorkerConnection::OnRead(const boost::system::error_code& error) {
  if (this->closed || this->is_idle) {
    return;
  }
  if (error) {
    static const auto& parse_errors =
        make_error_code(http::error::end_of_stream).category();
    const bool malformed = error.category() == parse_errors &&
                           error != http::error::end_of_stream &&
                           error != http::error::partial_message;
    this->Finish(Failure(malformed ? WorkerOutcome::kInvalidResponse
                                   : WorkerOutcome::kConnectionLost),
                 /*reusable=*/false);
    return;
  }
  this->OnAnswer();
}

// A reset fails whichever operation meets it first. If that is the write, the
// read sees an end of the stream instead, which looks like the end of a
// response without a length.
WorkerConnection::BodyEnd WorkerConnection::CheckBodyEnd() const {
  if (!this->parser->need_eof() || this->written) {
    return BodyEnd::kComplete;
  }
  return this->sending ? BodyEnd::kUndecided : BodyEnd::kTruncated;
}

bool WorkerConnection::HasSent(absl::string_view id) const {
  return this->recent_request_ids.contains(id) ||
         this->older_request_ids.contains(id);
}

void WorkerConnection::RememberRequest() {
  if (this->recent_request_ids.size() >= kMinRememberedRequestIds) {
    this->older_request_ids = std::move(this->recent_request_ids);
    this->recent_request_ids.clear();
  }
  this->recent_request_ids.insert(this->request_id);
}

void WorkerConnection::OnAnswer() {
  const auto& message = this->parser->get();
  if (message.result_int() / 100 == 1) {
    if (++this->interim_responses > kMaxInterimResponses) {
      this->AbortResponse();
      return;
    }
    this->Read();
    return;
  }
  const absl::string_view echoed_id =
      ToView(message[ToBeast(this->pool.names.request_id)]);
  const bool not_run = message.count(ToBeast(this->pool.names.not_run)) > 0 ||
                       message.result() == http::status::misdirected_request;
  if (echoed_id != this->request_id && this->HasSent(echoed_id) &&
      this->skipped_responses < kMaxSkippedResponses) {
    // Duplicate response to a previous request; the expected one follows.
    ++this->skipped_responses;
    this->Read();
    return;
  }
  // A rejection without a request id belongs to this request only if it is the
  // first one on the connection. Later it may be a late copy of the rejection
  // of a previous request, while this one runs.
  const bool is_first_request = this->recent_request_ids.empty();
  const bool is_unnamed_rejection = echoed_id.empty() && not_run;
  const bool mismatched = echoed_id != this->request_id &&
                          !(is_unnamed_rejection && is_first_request);
  if (mismatched || message.result_int() < kMinFinalStatus ||
      message.result_int() > kMaxFinalStatus ||
      message.count(http::field::content_encoding) > 0) {
    this->Finish(Failure(WorkerOutcome::kInvalidResponse),
                 /*reusable=*/false);
    return;
  }
  // The head of a rejection says all that matters.
  const BodyEnd body_end = not_run ? BodyEnd::kComplete : this->CheckBodyEnd();
  if (body_end == BodyEnd::kUndecided) {
    this->ended_while_sending = true;
    return;
  }
  if (body_end == BodyEnd::kTruncated) {
    this->Finish(Failure(WorkerOutcome::kConnectionLost),
                 /*reusable=*/false);
    return;
  }
  const size_t body_bytes = message.body().size();
  if (body_bytes > kMaxWholeBodyBytes &&
      !this->reservation.Resize(body_bytes)) {
    this->Finish(Failure(WorkerOutcome::kNoMemory), /*reusable=*/false);
    return;
  }
  WorkerResult result;
  result.outcome = not_run ? WorkerOutcome::kNotRun : WorkerOutcome::kAnswered;
  result.status = message.result_int();
  result.fields = CopyFields(message);
  // A rejection without a request id matches any request. Such a connection is
  // not reused, because a late duplicate rejection would be taken for that of
  // the next request, which may be running.
  const bool reusable = message.keep_alive() && this->written &&
                        !message.need_eof() && this->buffer.size() == 0 &&
                        !echoed_id.empty();
  this->reuse_until = BootNow() + IdleTimeout(message) - kIdleMargin;
  result.body = std::move(this->parser->get().body());
  if (body_bytes > kMaxWholeBodyBytes) {
    result.reservation = std::move(this->reservation);
  }
  this->Finish(std::move(result), reusable);
}

void WorkerConnection::Finish(WorkerResult result, bool reusable) {
  auto self = this->shared_from_this();
  WorkerConnectionPool::Done callback = std::move(this->done);
  this->done = nullptr;
  this->pool.OnBufferedBytesChanged(this->buffered, 0);
  this->buffered = 0;
  this->reservation.Release();
  this->RememberRequest();
  if (reusable) {
    this->request.reset();
    this->parser.reset();
    this->is_idle = true;
    this->pool.Release(self);
    this->WatchIdle();
  } else {
    this->Close();
  }
  callback(std::move(result));
}

void WorkerConnection::WatchIdle() {
  auto self = this->shared_from_this();
  this->socket.async_wait(
      Tcp::socket::wait_read,
      [self, call = this->call_id](const boost::system::error_code& error) {
        if (error || self->closed || !self->is_idle || self->call_id != call) {
          return;
        }
        if (PeekSocket(self->socket) == SocketState::kNoData) {
          self->WatchIdle();
          return;
        }
        // Closed by the worker, or data that belongs to no request.
        self->Close();
        if (self->pool.on_idle_closed) {
          self->pool.on_idle_closed();
        }
      });
}

void WorkerConnection::Cancel() {
  if (this->closed || !this->done) {
    return;
  }
  this->Finish(Failure(this->sent_any ? WorkerOutcome::kCancelled
                                      : WorkerOutcome::kNotSent),
               /*reusable=*/false);
}

void WorkerConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->pool.Remove(this->shared_from_this());
}

}  // namespace boragepaddle::event
