#include "boragepaddle/event/body_sender.h"

#include <utility>

#include "absl/algorithm/container.h"
#include "boragepaddle/recovery/partial_body.h"

namespace boragepaddle::event {

namespace {

/// Pieces are queued only while fewer bytes than this wait on the channel, so
/// that small messages pass between them.
constexpr size_t kShortQueueBytes = 64u << 10;

}  // namespace

BodySender::Queue::const_iterator BodySender::Find(const Queue& queue,
                                                   uint64_t call_id,
                                                   bool of_answer) {
  return absl::c_find_if(queue, [&](const Transfer& transfer) {
    return transfer.call_id == call_id && transfer.of_answer == of_answer;
  });
}

void BodySender::Start(const PeerChannelPtr& channel,
                       uint64_t call_id,
                       bool of_answer,
                       SharedBody body) {
  this->queues[channel->number].push_back(
      {call_id, of_answer, std::move(body), 0});
  this->OnDrained(channel);
}

void BodySender::Stop(uint64_t channel, uint64_t call_id, bool of_answer) {
  const auto found = this->queues.find(channel);
  if (found == this->queues.end()) {
    return;
  }
  const auto at = Find(found->second, call_id, of_answer);
  if (at != found->second.end()) {
    found->second.erase(at);
  }
  if (found->second.empty()) {
    this->queues.erase(found);
  }
}

void BodySender::OnDrained(const PeerChannelPtr& channel) {
  const auto found = this->queues.find(channel->number);
  if (found == this->queues.end()) {
    return;
  }
  Queue& queue = found->second;
  while (!queue.empty() && channel->queued_bytes() < kShortQueueBytes) {
    Transfer transfer = std::move(queue.front());
    schema::BodyPiece piece;
    piece.call_id = transfer.call_id;
    piece.of_answer = transfer.of_answer;
    piece.offset = transfer.sent;
    piece.data = transfer.body->substr(transfer.sent, recovery::kMaxPieceBytes);
    const size_t bytes = piece.data.size();
    if (!channel->Send(std::move(piece))) {
      // Closed; OnChannelClosed follows. The body counts as not sent.
      queue.front() = std::move(transfer);
      return;
    }
    transfer.sent += bytes;
    queue.pop_front();
    if (transfer.sent < transfer.body->size()) {
      queue.push_back(std::move(transfer));
    }
  }
  if (queue.empty()) {
    this->queues.erase(found);
  }
}

bool BodySender::IsSending(uint64_t channel,
                           uint64_t call_id,
                           bool of_answer) const {
  const auto found = this->queues.find(channel);
  return found != this->queues.end() &&
         Find(found->second, call_id, of_answer) != found->second.end();
}

std::vector<uint64_t> BodySender::AnswersInProgress(uint64_t channel) const {
  std::vector<uint64_t> ids;
  const auto found = this->queues.find(channel);
  if (found != this->queues.end()) {
    for (const Transfer& transfer : found->second) {
      if (transfer.of_answer) {
        ids.push_back(transfer.call_id);
      }
    }
  }
  return ids;
}

size_t BodySender::AnswersInProgress() const {
  size_t count = 0;
  for (const auto& [channel, queue] : this->queues) {
    count += absl::c_count_if(
        queue, [](const Transfer& transfer) { return transfer.of_answer; });
  }
  return count;
}

}  // namespace boragepaddle::event
