#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/proxy/worker_proxy.h"

// What the proxy learns of its worker from the ends of calls: crashes, a rate
// limit, load and speed, and that the worker leaves.

namespace boragepaddle::proxy {

namespace {

/// Statuses from this one on are failures of the worker.
constexpr uint32_t kFirstFailureStatus = 500;

/// Limit on the length of invalid load figures in the log.
constexpr size_t kMaxLoggedFigures = 40;

quarantine::WorkerSign SignOf(event::ProbeResult result) {
  switch (result) {
    case event::ProbeResult::kAccepted:
      return quarantine::WorkerSign::kServing;
    case event::ProbeResult::kClosed:
      return quarantine::WorkerSign::kClosesConnections;
    case event::ProbeResult::kNotAccepted:
      return quarantine::WorkerSign::kNotAccepting;
    case event::ProbeResult::kUnknown:
      return quarantine::WorkerSign::kUnknown;
  }
  return quarantine::WorkerSign::kUnknown;
}

}  // namespace

void WorkerProxy::SetRateLimit(uint32_t rate_limit, absl::Time now) {
  if (rate_limit == this->rate_limit) {
    return;
  }
  this->rate_limit = rate_limit;
  const double max_rate = rate_limit == 0
                              ? std::numeric_limits<double>::infinity()
                              : rate_limit / kRateUnit;
  admission::SetMaxRate(this->limiter, max_rate, now);
  this->log.LogState(telemetry::LogLine("worker", "rate_limit")
                         .Add("instance", this->rate_limited_instance)
                         .Add("per_s", max_rate));
}

void WorkerProxy::RecordWorkerLoad(absl::string_view figures, absl::Time now) {
  const auto load = admission::ParseWorkerLoad(figures);
  if (load) {
    admission::OnWorkerLoad(this->limiter, *load, now);
    return;
  }
  // A worker that sends invalid figures does so in each answer.
  if (this->invalid_load_figures++ == 0) {
    this->log.LogState(telemetry::LogLine("worker", "load_figures_invalid")
                           .Add("instance", this->rate_limited_instance)
                           .Add("figures", absl::CHexEscape(figures.substr(
                                               0, kMaxLoggedFigures))));
  }
}

void WorkerProxy::ApplyWorkerFields(const Call& call,
                                    const event::WorkerResult& result,
                                    absl::Time now) {
  const absl::string_view limit =
      event::FieldValue(result.fields, this->dialect.rate_limit);
  double per_second = 0;
  if (absl::SimpleAtod(limit, &per_second) && std::isfinite(per_second) &&
      per_second >= 0) {
    this->SetRateLimit(
        static_cast<uint32_t>(std::clamp(
            per_second * kRateUnit, 1.0,
            static_cast<double>(std::numeric_limits<uint32_t>::max()))),
        now);
  } else if (result.outcome == event::WorkerOutcome::kAnswered) {
    this->SetRateLimit(0, now);
  }
  if (event::HasField(result.fields, this->dialect.worker_load)) {
    this->RecordWorkerLoad(
        event::FieldValue(result.fields, this->dialect.worker_load), now);
  }
  this->has_answered |= result.outcome == event::WorkerOutcome::kAnswered;
  if (event::HasField(result.fields, this->dialect.leaving) &&
      catalog::MarkLeaving(this->store.workers, call.message.instance, now,
                           absl::Now())) {
    this->log.LogState(telemetry::LogLine("worker", "leaving")
                           .Add("instance", call.message.instance));
    this->OnDirectoryChanged();
  }
}

// A call that failed early says nothing about the time that its route needs.
void WorkerProxy::RecordCallTime(const Call& call,
                                 const event::WorkerResult& result,
                                 absl::Time now) {
  admission::Record(this->call_times, now - call.started_at, now);
  if (result.outcome == event::WorkerOutcome::kAnswered &&
      result.status < kFirstFailureStatus && !call.nested_failed) {
    admission::RecordCallTime(this->route_times, call.route,
                              call.message.service, now - call.arrived, now);
  }
}

void WorkerProxy::RecordCallEnd(uint64_t fingerprint,
                                event::WorkerOutcome outcome,
                                absl::Time now) {
  if (outcome == event::WorkerOutcome::kAnswered ||
      outcome == event::WorkerOutcome::kNotRun) {
    quarantine::OnWorkerAnswered(this->crash_detector);
  }
  // A worker that crashes may write bytes that are no answer before its
  // connections end, and may crash after the call was cancelled.
  const bool is_broken = outcome == event::WorkerOutcome::kConnectionLost ||
                         outcome == event::WorkerOutcome::kInvalidResponse;
  if (is_broken || outcome == event::WorkerOutcome::kCancelled) {
    quarantine::OnUnansweredCall(this->crash_detector, fingerprint, now);
    this->WatchWorker();
  }
  if (is_broken || outcome == event::WorkerOutcome::kNotSent) {
    quarantine::OnConnectionEnded(this->crash_detector, now);
  }
  if (outcome == event::WorkerOutcome::kAnswered) {
    this->quarantine.OnCompleted(fingerprint, now);
  }
}

void WorkerProxy::RecordWorkerStart(const catalog::WorkerEntry& worker) {
  if (worker.started_ms == this->worker_started_ms) {
    return;
  }
  const bool is_first = this->worker_started_ms == 0;
  this->worker_started_ms = worker.started_ms;
  if (is_first) {
    return;
  }
  const absl::Time now = event::BootNow();
  const absl::Time started_at =
      now - (absl::Now() - absl::FromUnixMillis(worker.started_ms));
  const std::vector<uint64_t> suspects =
      quarantine::OnWorkerRestarted(this->crash_detector, started_at, now);
  if (!suspects.empty()) {
    this->quarantine.OnLocalCrash(
        suspects, quarantine::ToString(quarantine::WorkerSign::kRestarted),
        now);
  }
}

void WorkerProxy::TickCrashCheck(absl::Time now) {
  if (!quarantine::IsCrashCheckDue(this->crash_detector, now)) {
    return;
  }
  const bool is_open =
      this->pool.HasConnectionFrom(this->crash_detector.connection_ended_at);
  switch (quarantine::AdvanceCrashCheck(this->crash_detector, is_open, now)) {
    case quarantine::CrashCheckStep::kWait:
      break;
    case quarantine::CrashCheckStep::kProbe:
      this->pool.Probe(event::ProbeSettings(),
                       [this](event::ProbeResult result) {
                         this->EndCrashCheck(SignOf(result));
                       });
      break;
    case quarantine::CrashCheckStep::kEnd:
      this->EndCrashCheck(quarantine::WorkerSign::kOlderConnectionOpen);
      break;
  }
}

void WorkerProxy::WatchWorker() {
  if (this->is_watching_worker || this->pool.HasConnections()) {
    return;
  }
  this->is_watching_worker = true;
  event::ProbeSettings watch;
  watch.hold_time = this->crash_detector.settings.suspicion_time;
  this->pool.Probe(watch, [this](event::ProbeResult result) {
    this->is_watching_worker = false;
    if (quarantine::IsCrash(SignOf(result))) {
      quarantine::OnConnectionEnded(this->crash_detector, event::BootNow());
    }
  });
}

void WorkerProxy::EndCrashCheck(quarantine::WorkerSign sign) {
  const absl::Time now = event::BootNow();
  const bool was_down = this->crash_detector.is_worker_down;
  if (!was_down && !quarantine::IsCrash(sign)) {
    this->LogCrashNotConfirmed(sign);
  }
  const std::vector<uint64_t> suspects =
      quarantine::EndCrashCheck(this->crash_detector, sign, now);
  if (was_down && !this->crash_detector.is_worker_down) {
    this->log.LogState(telemetry::LogLine("worker", "back")
                           .Add("sign", quarantine::ToString(sign)));
  }
  if (!suspects.empty()) {
    this->quarantine.OnLocalCrash(suspects, quarantine::ToString(sign), now);
  }
}

}  // namespace boragepaddle::proxy
