#include "boragepaddle/proxy/inbound_bodies.h"

namespace boragepaddle::proxy {

bool InboundBodies::Start(uint64_t channel,
                          uint64_t sender,
                          schema::HttpCall message,
                          absl::Time now) {
  event::MemoryReservation reservation(this->memory);
  if (!reservation.Resize(message.streamed_bytes)) {
    return false;
  }
  Entry& entry = this->entries[{channel, message.call_id}];
  entry.sender = sender;
  entry.body = recovery::MakePartialBody(message.streamed_bytes);
  entry.message = std::move(message);
  entry.reservation = std::move(reservation);
  entry.started = now;
  return true;
}

ReceivedPiece InboundBodies::AddPiece(uint64_t channel,
                                      const schema::BodyPiece& piece,
                                      absl::Time now) {
  ReceivedPiece result;
  const auto found = this->entries.find({channel, piece.call_id});
  if (found == this->entries.end()) {
    return result;
  }
  Entry& entry = found->second;
  switch (recovery::AddPiece(entry.body, piece)) {
    case recovery::PieceResult::kInvalid:
      result.is_valid = false;
      break;
    case recovery::PieceResult::kPartial:
      break;
    case recovery::PieceResult::kComplete: {
      const int64_t elapsed_us = absl::ToInt64Microseconds(now - entry.started);
      ReceivedCall& call = result.complete.emplace();
      call.message = std::move(entry.message);
      call.message.time_left_us -= elapsed_us;
      call.message.objective_us -= elapsed_us;
      call.body = event::ShareBody(std::move(entry.body.bytes),
                                   std::move(entry.reservation));
      this->entries.erase(found);
      break;
    }
  }
  return result;
}

void InboundBodies::Drop(uint64_t channel, uint64_t call_id) {
  this->entries.erase({channel, call_id});
}

void InboundBodies::Drop(const InboundCallName& name) {
  absl::erase_if(this->entries, [&](const auto& item) {
    return item.second.sender == name.sender &&
           item.first.second == name.call_id;
  });
}

void InboundBodies::OnChannelClosed(uint64_t channel) {
  absl::erase_if(this->entries, [channel](const auto& item) {
    return item.first.first == channel;
  });
}

std::vector<InboundCallName> InboundBodies::Expire(absl::Time now) {
  std::vector<InboundCallName> expired;
  absl::erase_if(this->entries, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool is_over =
        now - entry.started > absl::Microseconds(entry.message.time_left_us);
    if (is_over) {
      expired.push_back({entry.sender, item.first.second});
    }
    return is_over;
  });
  return expired;
}

}  // namespace boragepaddle::proxy
