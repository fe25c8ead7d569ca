#include "boragepaddle/caller/entry_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/transport/http_client_pool.h"

namespace boragepaddle::caller {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);
// The node answers at the deadline; its answer must not be missed.
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(250);
// A node closes a connection that is idle for 60 s.
constexpr absl::Duration kMaxIdle = absl::Seconds(30);

/// Refusals that a node makes before it reads the request id.
bool IsEarlyRefusal(const CallResult& result) {
  return result.outcome == Outcome::kNotRun &&
         (result.reason == Reason::kTooManyConnections ||
          result.reason == Reason::kBadRequest ||
          result.reason == Reason::kUnknownService);
}

transport::HttpClientPoolSettings PoolSettings() {
  transport::HttpClientPoolSettings settings;
  settings.connection.connect_timeout = kConnectTimeout;
  settings.max_idle = kMaxIdle;
  return settings;
}

SendResult Ended(Outcome outcome, Reason reason) {
  SendResult sent;
  sent.result.outcome = outcome;
  sent.result.reason = reason;
  return sent;
}

std::string HeaderValue(const transport::HttpResponse& response,
                        absl::string_view name) {
  const std::string* value = transport::FindHeader(response, name);
  return value == nullptr ? "" : *value;
}

template <typename Enum>
bool ReadEnum(const transport::HttpResponse& response,
              const char* header,
              Enum* value) {
  return schema::FromString(HeaderValue(response, header), value);
}

/// Reads an answer; ends unknown if it is not a whole answer to the request.
SendResult ReadAnswer(transport::HttpResponse& response,
                      const SendRequest& request) {
  SendResult sent;
  CallResult& result = sent.result;
  const bool valid =
      transport::FindHeader(response, "Content-Length") != nullptr &&
      ReadEnum(response, "Boragepaddle-Outcome", &result.outcome) &&
      ReadEnum(response, "Boragepaddle-Reason", &result.reason);
  const bool own =
      HeaderValue(response, "Boragepaddle-Request-Id") == request.request_id;
  if (!valid || (!own && !IsEarlyRefusal(result))) {
    return Ended(Outcome::kUnknown, Reason::kConnectionLost);
  }
  if (result.reason == Reason::kTicketNeeded) {
    sent.ticket = HeaderValue(response, "Boragepaddle-Ticket");
  }
  result.status = response.status;
  result.content_type = HeaderValue(response, "Content-Type");
  result.body = std::move(response.body);
  return sent;
}

}  // namespace

class EntryClient::Impl {
 public:
  explicit Impl(absl::string_view address) : pool(address, PoolSettings()) {}

  SendResult Send(const SendRequest& request) {
    std::unique_ptr<transport::HttpClientConnection> connection =
        this->pool.Take();
    std::vector<transport::HttpHeader> headers = {
        {"Boragepaddle-Request-Id", request.request_id},
        {"Boragepaddle-Deadline-Ms",
         absl::StrCat(absl::ToInt64Milliseconds(request.left))}};
    if (!request.ticket.empty()) {
      headers.push_back({"Boragepaddle-Ticket", request.ticket});
    }
    transport::HttpResponse response = connection->Post(
        request.path, headers, request.body, request.left + kAnswerMargin);
    if (response.failure == transport::HttpFailure::kNotConnected) {
      return Ended(Outcome::kNotRun, Reason::kNoUpstream);
    }
    if (response.failure != transport::HttpFailure::kNone) {
      return Ended(Outcome::kUnknown, Reason::kConnectionLost);
    }
    SendResult result = ReadAnswer(response, request);
    // After an answer of another request the connection is out of step.
    if (result.result.outcome != Outcome::kUnknown) {
      this->pool.Keep(std::move(connection));
    }
    return result;
  }

 private:
  transport::HttpClientPool pool;
};

EntryClient::EntryClient(absl::string_view address)
    : impl(std::make_unique<Impl>(address)) {}

EntryClient::~EntryClient() = default;

SendResult EntryClient::Send(const SendRequest& request) {
  return this->impl->Send(request);
}

}  // namespace boragepaddle::caller
