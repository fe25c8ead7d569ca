#include <utility>

#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/request_router.h"

// Answers of other nodes whose body arrives in pieces.

namespace boragepaddle::proxy {

RoutedCall* RequestRouter::FindAttempt(const event::PeerChannelPtr& channel,
                                       uint64_t attempt) {
  const auto found = this->calls_by_attempt.find(attempt);
  if (found == this->calls_by_attempt.end()) {
    return nullptr;
  }
  RoutedCall& call = *this->calls.at(found->second);
  return call.channel == channel ? &call : nullptr;
}

void RequestRouter::OnAnswerStart(const event::PeerChannelPtr& channel,
                                  schema::HttpAnswer answer) {
  RoutedCall* call = this->FindAttempt(channel, answer.call_id);
  if (call == nullptr) {
    return;
  }
  PartialAnswer partial;
  partial.reservation = event::MemoryReservation(this->memory);
  if (!partial.reservation.Resize(answer.streamed_bytes)) {
    this->log.LogFailedRequest(telemetry::LogLine("entry", "answer_refused")
                                   .Add("request", call->request_id)
                                   .Add("host", channel->host)
                                   .Add("bytes", answer.streamed_bytes)
                                   .Add("memory_used", this->memory.used())
                                   .Add("memory_limit", this->memory.limit()),
                               event::BootNow());
    // Stops the pieces. The request has run, and its answer is lost.
    channel->Send(schema::HttpCancel{answer.call_id});
    schema::HttpAnswer lost;
    lost.call_id = answer.call_id;
    lost.outcome = schema::Outcome::kUnknown;
    lost.reason = schema::Reason::kNoMemory;
    lost.offered = true;
    lost.load = answer.load;
    this->OnAnswer(std::move(lost), event::MemoryReservation());
    return;
  }
  partial.body = recovery::MakePartialBody(answer.streamed_bytes);
  partial.head = std::move(answer);
  call->partial_answer = std::move(partial);
}

bool RequestRouter::OnAnswerPiece(const event::PeerChannelPtr& channel,
                                  const schema::BodyPiece& piece) {
  RoutedCall* call = this->FindAttempt(channel, piece.call_id);
  if (call == nullptr || !call->partial_answer) {
    // Sent before the peer learned that the attempt has ended.
    return true;
  }
  PartialAnswer& partial = *call->partial_answer;
  switch (recovery::AddPiece(partial.body, piece)) {
    case recovery::PieceResult::kInvalid:
      return false;
    case recovery::PieceResult::kPartial:
      return true;
    case recovery::PieceResult::kComplete:
      break;
  }
  schema::HttpAnswer answer = std::move(partial.head);
  answer.body = std::move(partial.body.bytes);
  event::MemoryReservation reservation = std::move(partial.reservation);
  this->OnAnswer(std::move(answer), std::move(reservation));
  return true;
}

}  // namespace boragepaddle::proxy
