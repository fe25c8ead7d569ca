#include <algorithm>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "absl/strings/str_format.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/request_router.h"

// Ends of requests: completed, refused, timed out or abandoned by the client.

namespace boragepaddle::proxy {

namespace {

using schema::Reason;

/// Spread of the retry time, so that refused clients do not return at the same
/// moment.
constexpr double kRetryAfterSpread = 0.5;

}  // namespace

bool RequestRouter::IsAwaitingAnswer(
    const event::PeerChannelPtr& channel) const {
  return this->attempts_by_channel.contains(channel->number);
}

void RequestRouter::CancelAttempt(RoutedCall& call) {
  if (!call.is_attempt_pending) {
    return;
  }
  routing::OnCallLost(this->loads, call.instance);
  if (call.is_local) {
    this->local_worker.Cancel(call.local_call_id);
  } else if (call.channel != nullptr) {
    call.channel->Send(schema::HttpCancel{call.attempt_id});
  }
  this->ClearAttempt(call);
}

void RequestRouter::OnClientDisconnected(uint64_t id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  RoutedCall& call = *found->second;
  if (call.attempt_id == 0) {
    this->ReturnCredit(call);
  }
  this->CancelAttempt(call);
  this->Finish(call, absl::nullopt, "client_left");
}

void RequestRouter::TimeOut(RoutedCall& call) {
  const bool pending = call.is_attempt_pending;
  this->CancelAttempt(call);
  if (pending || call.may_have_run) {
    call.last_reason = Reason::kTimeout;
    this->ReplyUnknown(call, 504);
    return;
  }
  call.last_reason = Reason::kDeadline;
  this->ReplyNotRun(call);
}

void RequestRouter::Tick(absl::Time now) {
  std::vector<uint64_t> timed_out;
  std::vector<uint64_t> waiting;
  this->ResumeDueAttempts(now);
  for (const auto& [id, call] : this->calls) {
    if (now >= call->deadline) {
      timed_out.push_back(id);
    } else if (now >= call->next_capacity_check_at) {
      waiting.push_back(id);
    }
  }
  // Requests of higher priority try first, then the newest: under lasting
  // overload, the oldest have the least time left.
  absl::c_sort(waiting, [this](uint64_t a, uint64_t b) {
    const uint32_t first = this->calls.at(a)->priority;
    const uint32_t second = this->calls.at(b)->priority;
    return first != second ? first < second : a > b;
  });
  for (const uint64_t id : waiting) {
    RoutedCall& call = *this->calls.at(id);
    call.next_capacity_check_at = absl::InfiniteFuture();
    call.reroutes = 0;
    call.tried_instances.clear();
    this->AdmitAndSend(call);
  }
  for (const uint64_t id : timed_out) {
    this->TimeOut(*this->calls.at(id));
  }
}

void RequestRouter::ReplyCompleted(RoutedCall& call,
                                   schema::HttpAnswer& answer,
                                   event::MemoryReservation reservation) {
  event::HttpReply reply;
  reply.status = answer.status;
  reply.fields = std::move(answer.fields);
  reply.body = std::move(answer.body);
  reply.reservation = std::move(reservation);
  this->Finish(call, std::move(reply), "completed");
}

absl::Duration RequestRouter::RetryAfter(const RoutedCall& call) {
  const absl::Duration base =
      std::clamp(call.retry_after, this->bounds.min_retry_after,
                 this->bounds.max_retry_after);
  std::uniform_real_distribution<double> spread(1, 1 + kRetryAfterSpread);
  return base * spread(this->random);
}

void RequestRouter::ReplyNotRun(RoutedCall& call) {
  this->ReturnCredit(call);
  event::HttpReply reply;
  reply.status = 503;
  reply.fields.push_back(
      {this->dialect.retry_after,
       absl::StrFormat("%.3f", absl::ToDoubleSeconds(this->RetryAfter(call)))});
  // A refusal for lack of capacity; the retry budget and the end of this
  // process say nothing of that.
  if (call.nested && call.last_reason != Reason::kRetryBudget &&
      !call.refused_for_shutdown) {
    call.refusal.service = call.service;
    call.refusal.slot_time =
        routing::MeanCallTime(this->loads, this->store.workers, call.service);
  }
  this->Finish(call, std::move(reply), "not_run");
}

void RequestRouter::ReplyUnknown(RoutedCall& call, uint32_t status) {
  event::HttpReply reply;
  reply.status = status;
  this->Finish(call, std::move(reply), "unknown");
}

void RequestRouter::Finish(RoutedCall& call,
                           absl::optional<event::HttpReply> reply,
                           absl::string_view how) {
  const absl::Time now = event::BootNow();
  const uint32_t status = reply ? reply->status : 0;
  const bool served = status >= 200 && status < 500 &&
                      call.last_reason != Reason::kAccountLimit;
  if (call.awaits_credit) {
    this->account_limiter.Cancel(call.account, call.id);
  }
  this->metrics.Record({"entry", call.service, call.priority, how,
                        schema::ToString(call.last_reason),
                        now - call.arrived});
  if (!served || this->log.ShouldLogServedRequest(now)) {
    telemetry::LogLine line("entry", "finished");
    line.Add("request", call.request_id)
        .Add("how", how)
        .Add("status", status)
        .Add("reason", schema::ToString(call.last_reason))
        .Add("route", call.route->name)
        .Add("service", call.service)
        .Add("priority", call.priority)
        .Add("account", call.account)
        .Add("nested", call.nested)
        .Add("config", call.routes->version)
        .Add("instance", call.instance)
        .Add("held_back_by", call.limiting_service)
        .Add("over_fair_share", call.over_fair_share)
        .Add("refused_by", call.refusal.service)
        .Add("tried", call.tried_instances.size())
        .Add("offers", call.worker_attempts)
        .Add("ms", absl::ToInt64Milliseconds(now - call.arrived));
    if (served) {
      this->log.LogServedRequest(line);
    } else {
      this->log.LogFailedRequest(line, now);
    }
  }
  if (call.admitted) {
    routing::RootRequestEnd end;
    end.route = call.route->name;
    end.served = served;
    if (!served) {
      // A refusal by the service of the root request itself wastes no work.
      end.refused_service = call.refusal.service;
      end.refused_slot_time = call.refusal.slot_time;
    }
    end.admitted_at = call.admitted_at;
    end.now = now;
    routing::OnRootRequestEnded(this->root_limiter, end);
  }
  if (call.nested) {
    this->RecordNestedEnd(call, status, now);
  }
  const auto exchange = call.exchange;
  this->calls.erase(call.id);
  if (reply) {
    exchange->Reply(std::move(*reply));
  }
}

void RequestRouter::RecordNestedEnd(const RoutedCall& call,
                                    uint32_t status,
                                    absl::Time now) {
  if (status >= 200 && status < 300) {
    admission::RecordCallTime(this->nested_times, call.route->name,
                              call.service, now - call.arrived, now);
  } else if (!call.refused_for_shutdown) {
    // At another node the parent could complete, so it may be retried there.
    this->local_worker.RecordNestedFailure(call.parent_id, call.refusal);
  }
}

void RequestRouter::LogUnfinished(absl::Time now) {
  for (const auto& [id, call] : this->calls) {
    this->log.LogFailedRequest(
        telemetry::LogLine("entry", "unfinished_at_end")
            .Add("request", call->request_id)
            .Add("route", call->route->name)
            .Add("nested", call->nested)
            .Add("instance", call->instance)
            .Add("sent", call->is_attempt_pending)
            .Add("ms", absl::ToInt64Milliseconds(now - call->arrived)),
        now);
  }
}

void RequestRouter::LogRootCosts(absl::Time now) {
  const uint64_t evicted = routing::EvictedAccounts(this->root_limiter);
  if (evicted != this->logged_evictions) {
    this->log.LogState(
        telemetry::LogLine("entry", "account_table_full")
            .Add("evicted", evicted - this->logged_evictions)
            .Add("limit", this->root_limiter.settings.accounts.max_accounts));
    this->logged_evictions = evicted;
  }
  for (const auto& [name, route] : this->root_limiter.routes) {
    uint64_t& logged = this->logged_requests[name];
    if (route.requests == logged) {
      continue;
    }
    telemetry::LogLine line("entry", "root_costs");
    line.Add("route", name)
        .Add("requests", route.requests - logged)
        .Add("samples", route.samples)
        .Add("running", route.running);
    logged = route.requests;
    // Slot time in milliseconds and rate factor of each service.
    for (const auto& [service, seconds] : route.slot_seconds) {
      line.Add(service, absl::StrFormat("%.1f/%.2f", seconds * 1000,
                                        routing::ServiceRateFactor(
                                            this->root_limiter, service, now)));
    }
    this->log.LogState(line);
  }
}

}  // namespace boragepaddle::proxy
