#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/entry.h"

// Attempts whose connection to the other node falls silent or ends.

namespace boragepaddle::proxy {

using schema::Reason;

std::vector<uint64_t> Entry::PendingOn(
    const event::PeerChannelPtr& channel) const {
  std::vector<uint64_t> ids;
  for (const auto& [id, call] : this->calls) {
    if (call->attempt_pending && call->channel == channel) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Entry::OnChannelSilent(const event::PeerChannelPtr& channel) {
  const absl::Time now = event::BootNow();
  size_t repeated = 0;
  const std::vector<uint64_t> pending = this->PendingOn(channel);
  for (const uint64_t id : pending) {
    EntryCall& call = *this->calls.at(id);
    routing::OnUnreachable(this->loads, call.instance, now);
    if (!call.route->repeatable) {
      continue;
    }
    // The silent node may have given the call to its worker.
    ++call.offers;
    if (!this->MayRepeat(call)) {
      --call.offers;
      continue;
    }
    this->CancelAttempt(call);
    call.may_have_run = true;
    call.last_reason = Reason::kPaused;
    ++repeated;
    this->Attempt(call);
  }
  this->log.LogState(telemetry::LogLine("entry", "peer_silent")
                         .Add("host", channel->host)
                         .Add("waiting", pending.size())
                         .Add("sent_elsewhere", repeated));
  // The connection may be dead although the node lives. One try: a node that
  // stands still must not find a connection for each of them.
  const bool tried = absl::c_any_of(pending, [this](uint64_t id) {
    const auto found = this->calls.find(id);
    return found != this->calls.end() && found->second->resuming;
  });
  if (!tried) {
    channel->Close();
  }
}

void Entry::OnChannelClosed(const event::PeerChannelPtr& channel) {
  const std::vector<uint64_t> pending = this->PendingOn(channel);
  this->waiting.erase(channel->number);
  std::vector<uint64_t> held;
  for (const uint64_t id : pending) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      continue;
    }
    EntryCall& call = *found->second;
    call.channel = nullptr;
    if (channel->was_open() && channel->peer_incarnation != 0) {
      call.resume_host = channel->host;
      call.resume_incarnation = channel->peer_incarnation;
      held.push_back(id);
    } else if (call.resuming && !channel->was_refused()) {
      call.resume_at = event::BootNow() + this->bounds.resume_pause;
    } else {
      this->OnAttemptLost(call, channel->was_open() || call.resuming);
    }
  }
  if (!held.empty()) {
    this->Resume(channel->host, channel->peer_incarnation, held);
  }
}

// The node at the other end knows what became of the calls that it was given.
// It is asked for as long as their clients wait: nobody else can tell whether
// a request that may not run twice has run.
void Entry::Resume(const std::string& host,
                   uint64_t incarnation,
                   const std::vector<uint64_t>& ids) {
  const event::PeerChannelPtr channel =
      this->peers.ChannelTo(host, this->settings.peer_port);
  schema::CallResume message;
  message.incarnation = incarnation;
  for (const uint64_t id : ids) {
    message.call_ids.push_back(this->calls.at(id)->attempt);
  }
  const bool asked = channel != nullptr && channel->Send(message);
  for (const uint64_t id : ids) {
    EntryCall& call = *this->calls.at(id);
    call.resuming = true;
    call.resume_at = asked ? absl::InfiniteFuture()
                           : event::BootNow() + this->bounds.resume_pause;
    if (asked) {
      call.channel = channel;
      ++this->waiting[channel->number];
    }
  }
  this->log.LogState(telemetry::LogLine("entry", "calls_resumed")
                         .Add("host", host)
                         .Add("calls", ids.size())
                         .Add("asked", asked));
}

void Entry::ResumeDue(absl::Time now) {
  std::map<std::pair<std::string, uint64_t>, std::vector<uint64_t>> due;
  for (const auto& [id, call] : this->calls) {
    if (call->attempt_pending && now >= call->resume_at) {
      due[{call->resume_host, call->resume_incarnation}].push_back(id);
    }
  }
  for (const auto& [node, ids] : due) {
    this->Resume(node.first, node.second, ids);
  }
}

void Entry::OnCallStates(const event::PeerChannelPtr& channel,
                         const schema::CallStates& states) {
  this->log.LogState(telemetry::LogLine("entry", "call_states")
                         .Add("host", channel->host)
                         .Add("never_received", states.never_received.size())
                         .Add("unknown", states.unknown.size()));
  for (const uint64_t attempt : states.never_received) {
    this->EndResumed(channel, attempt, /*sent=*/false);
  }
  for (const uint64_t attempt : states.unknown) {
    this->EndResumed(channel, attempt, /*sent=*/true);
  }
}

void Entry::EndResumed(const event::PeerChannelPtr& channel,
                       uint64_t attempt,
                       bool sent) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return;
  }
  EntryCall& call = *this->calls.at(found->second);
  if (call.resuming && call.channel == channel) {
    this->OnAttemptLost(call, sent);
  }
}

}  // namespace boragepaddle::proxy
