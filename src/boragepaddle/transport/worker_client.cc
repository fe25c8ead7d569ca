#include "boragepaddle/transport/worker_client.h"

#include <httplib.h>

#include <utility>

#include "boragepaddle/transport/clock.h"
#include "boragepaddle/transport/http_client_pool.h"

namespace boragepaddle::transport {

using node::WorkerAnswer;
using node::WorkerCallEnd;

namespace {

// Shorter than the usual idle timeout of HTTP servers (5 s), so that no call is
// sent on a connection that the worker is about to close.
constexpr absl::Duration kMaxIdle = absl::Seconds(3);
constexpr absl::Duration kConnectTimeout = absl::Seconds(1);

// cpp-httplib truncates poll timeouts to whole milliseconds, so that they
// expire up to 1 ms early. A timeout that is mistaken for a broken connection
// would mark the request as a crash suspect.
constexpr absl::Duration kTimeoutSlack = absl::Milliseconds(2);

// Without Content-Length or chunked encoding, a truncated body cannot be told
// from a complete one.
bool HasDelimitedBody(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         response.get_header_value("Transfer-Encoding") == "chunked" ||
         response.status == 204;
}

WorkerAnswer FromFailure(httplib::Error error, bool expired) {
  WorkerAnswer answer;
  if (error == httplib::Error::Connection ||
      error == httplib::Error::BindIPAddress) {
    answer.end = WorkerCallEnd::kNotSent;
  } else {
    answer.end = expired ? WorkerCallEnd::kTimeout : WorkerCallEnd::kBroken;
  }
  return answer;
}

}  // namespace

class WorkerClient::Impl {
 public:
  explicit Impl(absl::string_view address)
      : pool(address, {kConnectTimeout, kMaxIdle}) {}

  WorkerAnswer Post(absl::string_view path,
                    absl::Span<const HttpHeader> headers,
                    absl::string_view body,
                    absl::Duration timeout) {
    const absl::Time give_up = MonotonicNow() + timeout;
    std::unique_ptr<httplib::Client> client = this->pool.Take();
    client->set_read_timeout(absl::ToChronoMicroseconds(timeout));
    client->set_write_timeout(absl::ToChronoMicroseconds(timeout));
    httplib::Headers fields;
    for (const HttpHeader& header : headers) {
      fields.emplace(header.name, header.value);
    }
    const httplib::Result result =
        client->Post(std::string(path), fields, std::string(body),
                     "application/octet-stream");
    if (!result) {
      return FromFailure(result.error(),
                         MonotonicNow() >= give_up - kTimeoutSlack);
    }
    if (!HasDelimitedBody(result.value())) {
      return FromFailure(httplib::Error::Read, false);
    }
    WorkerAnswer answer;
    answer.end = WorkerCallEnd::kAnswered;
    answer.status = static_cast<uint32_t>(result->status);
    answer.content_type = result->get_header_value("Content-Type");
    answer.body = result->body;
    this->pool.Keep(std::move(client));
    return answer;
  }

 private:
  HttpClientPool pool;
};

WorkerClient::WorkerClient(absl::string_view address)
    : impl(std::make_unique<Impl>(address)) {}

WorkerClient::~WorkerClient() = default;

WorkerAnswer WorkerClient::Post(absl::string_view path,
                                absl::Span<const HttpHeader> headers,
                                absl::string_view body,
                                absl::Duration timeout) {
  return this->impl->Post(path, headers, body, timeout);
}

}  // namespace boragepaddle::transport
