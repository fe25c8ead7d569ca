#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/worker_proxy.h"

// What the proxy reports: log lines, and the load of its worker.

namespace boragepaddle::proxy {

namespace {

using schema::Outcome;

/// Statuses from this one on are failures of the worker.
constexpr uint32_t kFirstFailureStatus = 500;

/// Limit on the suspects that the line about one crash names.
constexpr size_t kMaxLoggedSuspects = 8;

std::string FormatFingerprint(uint64_t fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16));
}

}  // namespace

void WorkerProxy::LogAnswer(const Call& call,
                            const schema::HttpAnswer& answer) {
  const bool served = answer.outcome == Outcome::kCompleted &&
                      answer.status < kFirstFailureStatus;
  const absl::Time now = event::BootNow();
  this->metrics.Record({"worker", call.message.service, call.message.priority,
                        schema::ToString(answer.outcome),
                        schema::ToString(answer.reason), now - call.arrived});
  if (served && !this->log.ShouldLogServedRequest(now)) {
    return;
  }
  telemetry::LogLine line("worker", served ? "served" : "ended");
  line.Add("request", call.message.request_id)
      .Add("fingerprint", FormatFingerprint(call.fingerprint))
      .Add("caller", call.message.origin_service)
      .Add("outcome", schema::ToString(answer.outcome))
      .Add("worker_outcome",
           call.worker_outcome ? event::ToString(*call.worker_outcome) : "none")
      .Add("reason", schema::ToString(answer.reason))
      .Add("status", answer.status)
      .Add("instance", call.message.instance)
      .Add("priority", call.message.priority)
      .Add("nested", call.message.nested)
      .Add("ms", absl::ToInt64Milliseconds(now - call.arrived))
      .Add("running", answer.load.running)
      .Add("queued", answer.load.queued)
      .Add("limit", answer.load.limit)
      .Add("over_fair_share", call.over_fair_share)
      .Add("refused_by", answer.refused_service);
  if (served) {
    this->log.LogServedRequest(line);
    return;
  }
  this->log.LogFailedRequest(line, now);
}

schema::GateLoad WorkerProxy::CurrentLoad() const {
  schema::GateLoad load;
  load.running = static_cast<uint32_t>(this->limiter.running.size());
  load.queued = static_cast<uint32_t>(this->limiter.queue.size());
  load.limit = admission::ConcurrencyLimit(this->limiter);
  load.grant = admission::AdmissionRatePermille(this->admission_rate);
  load.mean_us = static_cast<uint32_t>(
      absl::ToInt64Microseconds(this->limiter.long_term_mean_time));
  load.rate_limit = this->rate_limit;
  load.speed_percent = admission::SmoothedPercent(this->limiter.speed);
  load.rate_used = static_cast<uint32_t>(
      admission::RateUsed(this->limiter, event::BootNow()) * kRateUnit);
  return load;
}

void WorkerProxy::LogCrashNotConfirmed(quarantine::WorkerSign sign) {
  const auto& calls = this->crash_detector.unanswered;
  std::string requests;
  for (size_t i = 0; i < std::min(calls.size(), kMaxLoggedSuspects); ++i) {
    absl::StrAppend(&requests, i == 0 ? "" : ",",
                    FormatFingerprint(calls[i].fingerprint));
  }
  this->log.LogState(telemetry::LogLine("worker", "crash_not_confirmed")
                         .Add("sign", quarantine::ToString(sign))
                         .Add("unanswered_calls", calls.size())
                         .Add("fingerprints", requests));
}

void WorkerProxy::SetSpeedGauges() {
  const absl::Time now = event::BootNow();
  const admission::MachineSpeed& speed = this->limiter.speed;
  this->metrics.SetGauge("worker_load_figures_invalid",
                         static_cast<double>(this->invalid_load_figures));
  if (!admission::IsKnown(speed)) {
    return;
  }
  this->metrics.SetGauge("worker_speed_now",
                         admission::PresentSpeed(speed, now));
  this->metrics.SetGauge("worker_speed_smoothed", speed.smoothed);
  this->metrics.SetGauge(
      "worker_speed_kind",
      static_cast<double>(admission::KindOfSpeed(speed, now)));
  this->metrics.SetGauge("worker_slots_elsewhere",
                         this->limiter.slots_elsewhere);
}

void WorkerProxy::LogLoad() {
  const schema::GateLoad load = this->CurrentLoad();
  telemetry::LogLine line("worker", "grant");
  line.Add("grant", load.grant)
      .Add("load", absl::StrFormat("%.2f", this->admission_rate.load))
      .Add("rejected",
           absl::StrFormat("%.2f", this->admission_rate.rejected_share))
      .Add("running", load.running)
      .Add("queued", load.queued)
      .Add("limit", load.limit)
      .Add("mean_ms", absl::ToInt64Milliseconds(this->limiter.mean_time));
  const admission::MachineSpeed& speed = this->limiter.speed;
  if (admission::IsKnown(speed)) {
    const absl::Time now = event::BootNow();
    line.Add("speed",
             absl::StrFormat("%.2f", admission::PresentSpeed(speed, now)))
        .Add("speed_smoothed", absl::StrFormat("%.2f", speed.smoothed))
        .Add("speed_steady", absl::StrFormat("%.2f", speed.steady))
        .Add("speed_kind",
             admission::ToString(admission::KindOfSpeed(speed, now)))
        .Add("elsewhere", this->limiter.slots_elsewhere)
        .Add("expected_ms", absl::ToInt64Milliseconds(
                                admission::ExpectedCallTime(this->limiter)));
  }
  this->log.LogState(line);
}

schema::LoadNotice WorkerProxy::MakeLoadNotice() const {
  schema::LoadNotice notice;
  notice.service = this->settings.service;
  const catalog::WorkerEntry* worker = this->LocalWorker();
  notice.taking =
      !this->draining && (worker == nullptr || !catalog::IsLeaving(*worker));
  notice.load = this->CurrentLoad();
  return notice;
}

}  // namespace boragepaddle::proxy
