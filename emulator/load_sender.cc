#include "emulator/load_sender.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace emulator {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTicketRequired = 428;
// The node ends a call at its deadline; its answer needs some time to arrive.
constexpr absl::Duration kResponseMargin = absl::Milliseconds(500);

std::string BodyOf(const LoadOperation& operation, const LoadRequest& request) {
  nlohmann::json body = {{"key", request.key}};
  if (!operation.marker.empty()) {
    body["marker"] = operation.marker;
  }
  if (operation.body_bytes > 0) {
    body["padding"] = std::string(operation.body_bytes, 'y');
  }
  return body.dump();
}

httplib::Headers HeadersOf(const LoadOperation& operation,
                           const LoadRequest& request) {
  httplib::Headers headers = {
      {"Boragepaddle-Deadline-Ms",
       absl::StrCat(absl::ToInt64Milliseconds(operation.deadline))},
      {"Boragepaddle-Request-Id", request.key}};
  if (operation.new_connection) {
    headers.emplace("Connection", "close");
  }
  if (!request.ticket.empty()) {
    headers.emplace("Boragepaddle-Ticket", request.ticket);
  }
  return headers;
}

/// True for a whole answer of a fake worker to this very request.
bool IsMatchingResponse(const LoadOperation& operation,
                        const LoadRequest& request,
                        const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return false;
  }
  try {
    return json.at("key") == request.key &&
           json.at("service") == operation.service &&
           json.at("operation") == operation.operation &&
           json.at("padding").get<std::string>().size() ==
               json.at("size").get<size_t>();
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

ClientOutcome OutcomeOf(const LoadOperation& operation,
                        const LoadRequest& request,
                        const httplib::Response& response) {
  const std::string outcome = response.get_header_value("Boragepaddle-Outcome");
  // A worker that is called directly sends no outcome.
  if (outcome == "completed" || outcome.empty()) {
    if (response.status != kStatusOk) {
      return ClientOutcome::kFailed;
    }
    return IsMatchingResponse(operation, request, response.body)
               ? ClientOutcome::kCompleted
               : ClientOutcome::kWrong;
  }
  const bool not_run = outcome == "not-run" || outcome == "not_run";
  return not_run ? ClientOutcome::kNotRun : ClientOutcome::kUnknown;
}

}  // namespace

AttemptResult SendAttempt(const LoadOperation& operation,
                          const LoadRequest& request,
                          ClientPool* clients) {
  const std::string& entry =
      operation.entries[request.next_entry % operation.entries.size()];
  const absl::Time start = absl::Now();
  const httplib::Result result = clients->Post(
      entry, operation.path, HeadersOf(operation, request),
      BodyOf(operation, request), operation.deadline + kResponseMargin);
  AttemptResult attempt;
  attempt.latency = absl::Now() - start;
  if (!result) {
    // Without a connection, nothing was sent.
    attempt.outcome = result.error() == httplib::Error::Connection
                          ? ClientOutcome::kNotRun
                          : ClientOutcome::kUnknown;
    attempt.reason =
        absl::StrCat("client:", httplib::to_string(result.error()));
    return attempt;
  }
  attempt.reason = result->get_header_value("Boragepaddle-Reason");
  attempt.ticket = result->get_header_value("Boragepaddle-Ticket");
  attempt.ticket_granted =
      result->status == kStatusTicketRequired && !attempt.ticket.empty();
  attempt.outcome = OutcomeOf(operation, request, *result);
  return attempt;
}

}  // namespace emulator
