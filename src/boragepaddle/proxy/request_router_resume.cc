#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "absl/container/flat_hash_set.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/request_router.h"

// Attempts whose connection to the peer is unresponsive or closed.

namespace boragepaddle::proxy {

using schema::Reason;

std::vector<uint64_t> RequestRouter::PendingCallsOn(
    const event::PeerChannelPtr& channel) const {
  std::vector<uint64_t> ids;
  for (const auto& [id, call] : this->calls) {
    if (call->is_attempt_pending && call->channel == channel) {
      ids.push_back(id);
    }
  }
  return ids;
}

void RequestRouter::OnChannelSilent(const event::PeerChannelPtr& channel) {
  const absl::Time now = event::BootNow();
  size_t retried = 0;
  const std::vector<uint64_t> pending = this->PendingCallsOn(channel);
  for (const uint64_t id : pending) {
    RoutedCall& call = *this->calls.at(id);
    routing::OnUnreachable(this->loads, call.instance, now);
    if (!call.route->idempotent) {
      continue;
    }
    // The unresponsive node may have sent the call to its worker.
    ++call.worker_attempts;
    if (!this->TryAcquireRetry(call)) {
      --call.worker_attempts;
      continue;
    }
    this->CancelAttempt(call);
    call.may_have_run = true;
    call.last_reason = Reason::kPaused;
    ++retried;
    this->SendAttempt(call);
  }
  this->log.LogState(telemetry::LogLine("entry", "peer_silent")
                         .Add("host", channel->host)
                         .Add("waiting", pending.size())
                         .Add("sent_elsewhere", retried));
  // The connection may be dead while the node is alive. It is replaced only
  // once, so that a paused node does not resume to a backlog of connections.
  const bool reconnected = absl::c_any_of(pending, [this](uint64_t id) {
    const auto found = this->calls.find(id);
    return found != this->calls.end() && found->second->remote.is_resuming;
  });
  if (!reconnected) {
    channel->Close();
  }
}

void RequestRouter::OnChannelClosed(const event::PeerChannelPtr& channel) {
  const std::vector<uint64_t> pending = this->PendingCallsOn(channel);
  this->attempts_by_channel.erase(channel->number);
  std::vector<uint64_t> resumable;
  for (const uint64_t id : pending) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      continue;
    }
    RoutedCall& call = *found->second;
    call.channel = nullptr;
    // The rest of the answer cannot arrive any more; the peer sends it again
    // from the start if it still has it.
    call.partial_answer.reset();
    call.remote.is_body_sent =
        call.body == nullptr ||
        !this->body_sender.IsSending(channel->number, call.attempt_id,
                                     /*of_answer=*/false);
    const recovery::ClosedConnection connection = {
        channel->was_open(), channel->was_refused(), channel->peer_incarnation};
    switch (recovery::OnConnectionClosed(call.remote, connection)) {
      case recovery::AttemptDecision::kResume:
        call.resume_host = channel->host;
        resumable.push_back(id);
        break;
      case recovery::AttemptDecision::kResumeLater:
        call.next_resume_at =
            event::BootNow() + this->bounds.resume_retry_interval;
        break;
      case recovery::AttemptDecision::kNotSent:
        this->OnAttemptLost(call, /*sent=*/false);
        break;
      case recovery::AttemptDecision::kUnknown:
        this->OnAttemptLost(call, /*sent=*/true);
        break;
    }
  }
  if (!resumable.empty()) {
    this->Resume(channel->host, channel->peer_incarnation, resumable);
  }
}

// Only the peer knows the state of the calls that it received. It is asked
// until their deadlines, since nothing else can tell whether a request that
// must not run twice has run.
void RequestRouter::Resume(const std::string& host,
                           uint64_t incarnation,
                           const std::vector<uint64_t>& ids) {
  const event::PeerChannelPtr channel =
      this->peers.ChannelTo(host, this->settings.peer_port);
  schema::CallResume message;
  message.incarnation = incarnation;
  for (const uint64_t id : ids) {
    message.call_ids.push_back(this->calls.at(id)->attempt_id);
  }
  const bool sent = channel != nullptr && channel->Send(message);
  for (const uint64_t id : ids) {
    RoutedCall& call = *this->calls.at(id);
    call.next_resume_at =
        sent ? absl::InfiniteFuture()
             : event::BootNow() + this->bounds.resume_retry_interval;
    if (sent) {
      call.channel = channel;
      ++this->attempts_by_channel[channel->number];
    }
  }
  this->log.LogState(telemetry::LogLine("entry", "calls_resumed")
                         .Add("host", host)
                         .Add("calls", ids.size())
                         .Add("asked", sent));
}

void RequestRouter::ResumeDueAttempts(absl::Time now) {
  std::map<std::pair<std::string, uint64_t>, std::vector<uint64_t>> due;
  for (const auto& [id, call] : this->calls) {
    if (call->is_attempt_pending && now >= call->next_resume_at) {
      due[{call->resume_host, call->remote.receiver}].push_back(id);
    }
  }
  for (const auto& [node, ids] : due) {
    this->Resume(node.first, node.second, ids);
  }
}

void RequestRouter::OnCallStates(const event::PeerChannelPtr& channel,
                                 const schema::CallStates& states) {
  this->log.LogState(telemetry::LogLine("entry", "call_states")
                         .Add("host", channel->host)
                         .Add("never_received", states.never_received.size())
                         .Add("unknown", states.unknown.size()));
  for (const uint64_t attempt : states.never_received) {
    this->EndResumedAttempt(channel, attempt, /*sent=*/false);
  }
  for (const uint64_t attempt : states.unknown) {
    this->EndResumedAttempt(channel, attempt, /*sent=*/true);
  }
}

// A call that was sent just before the node ended was not read, so it can be
// sent to another node. For a resumed call this is unknown: its answer may have
// been lost with an earlier connection.
void RequestRouter::OnPeerClosing(const event::PeerChannelPtr& channel,
                                  const schema::PeerClosing& closing) {
  this->peers.Retire(channel);
  const absl::flat_hash_set<uint64_t> unfinished(closing.unfinished.begin(),
                                                 closing.unfinished.end());
  size_t rerouted = 0;
  for (const uint64_t id : this->PendingCallsOn(channel)) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || found->second->remote.is_resuming ||
        found->second->partial_answer ||
        unfinished.contains(found->second->attempt_id)) {
      continue;
    }
    ++rerouted;
    this->OnAttemptLost(*found->second, /*sent=*/false);
  }
  this->log.LogState(telemetry::LogLine("entry", "peer_closing")
                         .Add("host", channel->host)
                         .Add("unfinished", unfinished.size())
                         .Add("rerouted", rerouted));
}

void RequestRouter::EndResumedAttempt(const event::PeerChannelPtr& channel,
                                      uint64_t attempt,
                                      bool sent) {
  const auto found = this->calls_by_attempt.find(attempt);
  if (found == this->calls_by_attempt.end()) {
    return;
  }
  RoutedCall& call = *this->calls.at(found->second);
  if (call.remote.is_resuming && call.channel == channel) {
    this->OnAttemptLost(call, sent);
  }
}

}  // namespace boragepaddle::proxy
