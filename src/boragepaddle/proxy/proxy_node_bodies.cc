#include <utility>

#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/proxy_node.h"

// Calls of other nodes, whose bodies may arrive in pieces, and their answers.

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;

/// Time after which a call is expected to find memory: that of a large body on
/// its way to a worker.
constexpr absl::Duration kMemoryRetryAfter = absl::Milliseconds(500);

}  // namespace

void ProxyNode::OnPeerCall(const PeerChannelPtr& channel,
                           schema::HttpCall call) {
  if (this->peers_told_of_end) {
    return;
  }
  if (call.streamed_bytes > 0) {
    this->OnPeerCallStart(channel, std::move(call));
    return;
  }
  const uint64_t sender = channel->peer_incarnation;
  if (recovery::OnCall(this->inbound_calls, sender, channel->number,
                       call.call_id)) {
    this->PassOn(sender, std::move(call), nullptr);
  }
}

void ProxyNode::OnPeerCallStart(const PeerChannelPtr& channel,
                                schema::HttpCall call) {
  const absl::Time now = event::BootNow();
  const uint64_t sender = channel->peer_incarnation;
  const uint64_t call_id = call.call_id;
  if (!recovery::OnCallStart(this->inbound_calls, sender, channel->number,
                             call_id)) {
    return;
  }
  telemetry::LogLine refusal("worker", "body_refused");
  refusal.Add("request", call.request_id)
      .Add("host", channel->host)
      .Add("bytes", call.streamed_bytes)
      .Add("memory_used", this->memory.used())
      .Add("memory_limit", this->memory.limit());
  const std::string service = call.service;
  const uint32_t priority = call.priority;
  if (this->inbound_bodies.Start(channel->number, sender, std::move(call),
                                 now)) {
    return;
  }
  this->log.LogFailedRequest(refusal, now);
  schema::HttpAnswer answer;
  answer.call_id = call_id;
  answer.outcome = schema::Outcome::kNotRun;
  answer.reason = schema::Reason::kNoMemory;
  answer.retry_after_us = absl::ToInt64Microseconds(kMemoryRetryAfter);
  answer.load = this->worker_side.MakeLoadNotice().load;
  this->metrics.Record({"worker", service, priority,
                        schema::ToString(answer.outcome),
                        schema::ToString(answer.reason), absl::ZeroDuration()});
  // The refusal is kept like any answer, for a sender that resumes.
  recovery::OnBodyComplete(this->inbound_calls, sender, call_id);
  this->AnswerPeer(sender, std::move(answer), event::MemoryReservation());
}

void ProxyNode::OnBodyPiece(const PeerChannelPtr& channel,
                            const schema::BodyPiece& piece) {
  if (piece.of_answer) {
    if (!this->router.OnAnswerPiece(channel, piece)) {
      this->OnInvalidPiece(channel, piece);
    }
    return;
  }
  ReceivedPiece received =
      this->inbound_bodies.AddPiece(channel->number, piece, event::BootNow());
  if (!received.is_valid) {
    this->OnInvalidPiece(channel, piece);
    return;
  }
  if (received.complete &&
      recovery::OnBodyComplete(this->inbound_calls, channel->peer_incarnation,
                               piece.call_id)) {
    this->PassOn(channel->peer_incarnation,
                 std::move(received.complete->message),
                 std::move(received.complete->body));
  }
}

// After a wrong piece, nothing else on the connection can be trusted. The
// states of its calls are asked for on a new one.
void ProxyNode::OnInvalidPiece(const PeerChannelPtr& channel,
                               const schema::BodyPiece& piece) {
  this->log.LogState(telemetry::LogLine("node", "invalid_piece")
                         .Add("host", channel->host)
                         .Add("call", piece.call_id)
                         .Add("of_answer", piece.of_answer)
                         .Add("offset", piece.offset)
                         .Add("bytes", piece.data.size()));
  channel->Close();
}

void ProxyNode::PassOn(uint64_t sender,
                       schema::HttpCall call,
                       event::SharedBody body) {
  const uint64_t call_id = call.call_id;
  const uint64_t id = this->worker_side.Handle(
      std::move(call), std::move(body),
      [this, sender](schema::HttpAnswer answer,
                     event::MemoryReservation reservation) {
        this->AnswerPeer(sender, std::move(answer), std::move(reservation));
      });
  recovery::OnForwarded(this->inbound_calls, sender, call_id, id);
}

void ProxyNode::AnswerPeer(uint64_t sender,
                           schema::HttpAnswer answer,
                           event::MemoryReservation reservation) {
  event::SharedBody body;
  if (answer.body.size() <= event::kMaxWholeBodyBytes) {
    // Sent as it is.
  } else if (answer.outcome != schema::Outcome::kCompleted) {
    // The client gets an answer of its own node.
    answer.body.clear();
  } else {
    answer.streamed_bytes = answer.body.size();
    body = event::ShareBody(std::move(answer.body), std::move(reservation));
    answer.body.clear();
  }
  const uint64_t number = recovery::OnAnswer(this->inbound_calls, sender,
                                             answer, event::BootNow(), body);
  const auto found = this->incoming_channels.find(number);
  if (found == this->incoming_channels.end()) {
    return;
  }
  this->SendAnswer(found->second, answer, std::move(body));
}

void ProxyNode::SendAnswer(const PeerChannelPtr& channel,
                           const schema::HttpAnswer& answer,
                           event::SharedBody body) {
  if (!channel->Send(answer)) {
    // If the send queue is full, the sender gets the kept answer on its next
    // connection. It must not wait on this one, where PeerClosing would tell it
    // that the call was never received.
    channel->Close();
    return;
  }
  if (body != nullptr) {
    this->body_sender.Start(channel, answer.call_id, /*of_answer=*/true,
                            std::move(body));
  }
}

void ProxyNode::OnPeerCancel(const PeerChannelPtr& channel,
                             const schema::HttpCancel& cancel) {
  this->inbound_bodies.Drop(channel->number, cancel.call_id);
  this->body_sender.Stop(channel->number, cancel.call_id, /*of_answer=*/true);
  const uint64_t id = recovery::OnCancel(
      this->inbound_calls, channel->peer_incarnation, cancel.call_id);
  if (id != 0) {
    this->worker_side.Cancel(id);
  }
}

void ProxyNode::OnPeerResume(const PeerChannelPtr& channel,
                             const schema::CallResume& resume) {
  if (this->peers_told_of_end) {
    return;
  }
  if (resume.incarnation != this->incarnation) {
    // The calls were sent to an earlier process at this address.
    channel->Send(schema::CallStates{{}, resume.call_ids});
    return;
  }
  const uint64_t sender = channel->peer_incarnation;
  const recovery::ResumeResult result =
      recovery::OnResume(this->inbound_calls, sender, resume.call_ids);
  for (const uint64_t call_id : result.states.never_received) {
    this->inbound_bodies.Drop({sender, call_id});
  }
  channel->Send(result.states);
  for (const schema::HttpAnswer& answer : result.answers) {
    const auto body = result.bodies.find(answer.call_id);
    this->SendAnswer(channel, answer,
                     body == result.bodies.end() ? nullptr : body->second);
  }
}

void ProxyNode::ExpireCalls(absl::Time now) {
  for (const uint64_t id : recovery::Expire(this->inbound_calls, now)) {
    this->worker_side.Cancel(id);
  }
  for (const InboundCallName& name : this->inbound_bodies.Expire(now)) {
    recovery::OnBodyDropped(this->inbound_calls, name.sender, name.call_id);
    this->log.LogState(telemetry::LogLine("worker", "body_incomplete")
                           .Add("sender", name.sender)
                           .Add("call", name.call_id));
  }
}

}  // namespace boragepaddle::proxy
