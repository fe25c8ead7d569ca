#include "boragepaddle/caller/entry_client.h"

#include <httplib.h>

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

SendResult Ended(Outcome outcome, Reason reason) {
  SendResult sent;
  sent.result.outcome = outcome;
  sent.result.reason = reason;
  return sent;
}

template <typename Enum>
bool ReadEnum(const httplib::Response& response,
              const char* header,
              Enum* value) {
  return schema::FromString(response.get_header_value(header), value);
}

/// Reads an answer; ends unknown if it is not a whole answer to the request.
SendResult ReadAnswer(const httplib::Response& response,
                      const SendRequest& request) {
  SendResult sent;
  CallResult& result = sent.result;
  const bool valid =
      response.has_header("Content-Length") &&
      ReadEnum(response, "Boragepaddle-Outcome", &result.outcome) &&
      ReadEnum(response, "Boragepaddle-Reason", &result.reason);
  const bool own = response.get_header_value("Boragepaddle-Request-Id") ==
                   request.request_id;
  if (!valid || (!own && !IsEarlyRefusal(result))) {
    return Ended(Outcome::kUnknown, Reason::kConnectionLost);
  }
  if (result.reason == Reason::kTicketNeeded) {
    sent.ticket = response.get_header_value("Boragepaddle-Ticket");
  }
  result.status = static_cast<uint32_t>(response.status);
  result.content_type = response.get_header_value("Content-Type");
  result.body = response.body;
  return sent;
}

}  // namespace

class EntryClient::Impl {
 public:
  explicit Impl(absl::string_view address)
      : pool(address, {kConnectTimeout, kMaxIdle}) {}

  SendResult Send(const SendRequest& request) {
    std::unique_ptr<httplib::Client> client = this->pool.Take();
    client->set_read_timeout(
        absl::ToChronoMicroseconds(request.left + kAnswerMargin));
    httplib::Headers headers = {
        {"Boragepaddle-Request-Id", request.request_id},
        {"Boragepaddle-Deadline-Ms",
         absl::StrCat(absl::ToInt64Milliseconds(request.left))}};
    if (!request.ticket.empty()) {
      headers.emplace("Boragepaddle-Ticket", request.ticket);
    }
    const httplib::Result answer =
        client->Post(request.path, headers, std::string(request.body),
                     "application/octet-stream");
    if (!answer) {
      const bool sent = answer.error() != httplib::Error::Connection;
      return sent ? Ended(Outcome::kUnknown, Reason::kConnectionLost)
                  : Ended(Outcome::kNotRun, Reason::kNoUpstream);
    }
    SendResult result = ReadAnswer(answer.value(), request);
    // After an answer of another request the connection is out of step.
    if (result.result.outcome != Outcome::kUnknown) {
      this->pool.Keep(std::move(client));
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
