#include "boragepaddle/transport/worker_client.h"

#include <utility>

#include "boragepaddle/transport/http_client_pool.h"

namespace boragepaddle::transport {

using node::WorkerAnswer;
using node::WorkerCallEnd;

namespace {

// Shorter than the usual idle timeout of HTTP servers (5 s), so that no call is
// sent on a connection that the worker is about to close.
constexpr absl::Duration kMaxIdle = absl::Seconds(3);
constexpr absl::Duration kConnectTimeout = absl::Seconds(1);

HttpClientPoolSettings PoolSettings() {
  HttpClientPoolSettings settings;
  settings.connection.connect_timeout = kConnectTimeout;
  settings.max_idle = kMaxIdle;
  return settings;
}

WorkerCallEnd EndOf(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNone:
      return WorkerCallEnd::kAnswered;
    case HttpFailure::kNotConnected:
      return WorkerCallEnd::kNotSent;
    case HttpFailure::kBroken:
      return WorkerCallEnd::kBroken;
    case HttpFailure::kTimeout:
    // Neither the worker nor the request is to blame, as for a broken answer.
    case HttpFailure::kNoMemory:
      return WorkerCallEnd::kTimeout;
  }
  return WorkerCallEnd::kBroken;
}

}  // namespace

class WorkerClient::Impl {
 public:
  explicit Impl(absl::string_view address) : pool(address, PoolSettings()) {}

  WorkerAnswer Post(absl::string_view path,
                    absl::Span<const HttpHeader> headers,
                    absl::string_view body,
                    absl::Duration timeout) {
    std::unique_ptr<HttpClientConnection> connection = this->pool.Take();
    HttpResponse response = connection->Post(path, headers, body, timeout);
    this->pool.Keep(std::move(connection));
    WorkerAnswer answer;
    answer.end = EndOf(response.failure);
    answer.status = response.status;
    const std::string* type = FindHeader(response, "Content-Type");
    answer.content_type = type == nullptr ? "" : *type;
    answer.body = std::move(response.body);
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
