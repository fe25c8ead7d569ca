#include "boragepaddle/proxy/request_quarantine.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::proxy {

namespace {

/// Interval at which reports of rejected requests are repeated. Shorter than
/// the time after which a node that was cut off counts as reachable again.
constexpr absl::Duration kRejectionInterval = absl::Seconds(1);

/// Interval at which completions of suspects are reported together. A popular
/// request may complete many times a second.
constexpr absl::Duration kCompletionInterval = absl::Milliseconds(200);

/// Limit on the suspects that the line about one crash names.
constexpr size_t kMaxLoggedSuspects = 8;

std::string FormatFingerprint(uint64_t fingerprint) {
  return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16));
}

}  // namespace

RequestQuarantine::RequestQuarantine(const NodeSettings& settings,
                                     telemetry::EventLog& log,
                                     GroupSend send_to_service,
                                     GroupSend send_to_witnesses)
    : settings(settings),
      log(log),
      send_to_service(std::move(send_to_service)),
      send_to_witnesses(std::move(send_to_witnesses)) {
  this->OnSettingsChanged();
}

bool RequestQuarantine::IsRejected(uint64_t fingerprint, absl::Time now) const {
  return quarantine::IsRejected(this->ledger, fingerprint, now);
}

schema::RequestRejection RequestQuarantine::RejectionOf(uint64_t fingerprint,
                                                        absl::Time now) const {
  return quarantine::RejectionReport(this->ledger, fingerprint, now);
}

void RequestQuarantine::OnLocalCrash(absl::Span<const uint64_t> suspects,
                                     absl::string_view sign,
                                     absl::Time now) {
  // Other nodes must not take them for completions after this crash.
  this->SendCompletions();
  const uint64_t crash_id = base::StableHash(
      {this->settings.vm_id, absl::StrCat(absl::GetCurrentTimeNanos())});
  const schema::WorkerCrash report =
      quarantine::OnLocalCrash(this->ledger, suspects, crash_id, now);
  std::string crashes;
  for (size_t i = 0; i < std::min(report.suspects.size(), kMaxLoggedSuspects);
       ++i) {
    const auto record = this->ledger.suspects.find(report.suspects[i]);
    absl::StrAppend(
        &crashes, i == 0 ? "" : ",", FormatFingerprint(report.suspects[i]), ":",
        record == this->ledger.suspects.end() ? 0 : record->second.crashes);
  }
  this->log.LogState(telemetry::LogLine("worker", "crashed")
                         .Add("sign", sign)
                         .Add("crash", absl::Hex(crash_id))
                         .Add("unanswered_calls", suspects.size())
                         .Add("suspects", report.suspects.size())
                         .Add("crashes_by_suspect", crashes));
  this->send_to_service(report);
  this->ApplyEvidence(now);
}

void RequestQuarantine::OnCompleted(uint64_t fingerprint, absl::Time now) {
  const bool was_suspect = this->ledger.suspects.contains(fingerprint);
  if (!quarantine::OnCompleted(this->ledger, fingerprint, now)) {
    return;
  }
  ++this->unsent_completions[fingerprint];
  if (was_suspect && !this->ledger.suspects.contains(fingerprint)) {
    this->log.LogState(telemetry::LogLine("worker", "suspect_cleared")
                           .Add("fingerprint", FormatFingerprint(fingerprint)));
  }
}

bool RequestQuarantine::OnMessage(const schema::Message& message,
                                  absl::Time now) {
  if (const auto* crash = std::get_if<schema::WorkerCrash>(&message)) {
    quarantine::OnCrash(this->ledger, *crash, now);
    this->ApplyEvidence(now);
    return true;
  }
  if (const auto* done = std::get_if<schema::SuspectCompletions>(&message)) {
    quarantine::OnSuspectCompletions(this->ledger, *done);
    return true;
  }
  if (const auto* rejection = std::get_if<schema::RequestRejection>(&message)) {
    if (quarantine::OnRejection(this->ledger, *rejection, now)) {
      this->LogRejected(*rejection, "report");
    }
    return true;
  }
  return false;
}

std::vector<schema::Message> RequestQuarantine::ReportsFor(
    absl::string_view service,
    bool is_witness,
    absl::Time now) const {
  std::vector<schema::Message> reports;
  const auto add_rejections = [&](absl::string_view rejecting_service) {
    for (schema::RequestRejection& rejection :
         quarantine::RejectionReports(this->ledger, rejecting_service, now)) {
      reports.emplace_back(std::move(rejection));
    }
  };
  add_rejections(service);
  if (is_witness && service != this->settings.service) {
    add_rejections(this->settings.service);
  }
  if (service == this->settings.service) {
    for (schema::WorkerCrash& crash :
         quarantine::CrashReports(this->ledger, now)) {
      reports.emplace_back(std::move(crash));
    }
  }
  return reports;
}

bool RequestQuarantine::HasOwnEvidence() const {
  const auto is_own_crash = [this](const auto& entry) {
    return entry.second.vm_id == this->settings.vm_id;
  };
  const auto is_own_rejection = [](const auto& entry) {
    return entry.second.is_own;
  };
  return std::any_of(this->ledger.crashes.begin(), this->ledger.crashes.end(),
                     is_own_crash) ||
         std::any_of(this->ledger.rejections.begin(),
                     this->ledger.rejections.end(), is_own_rejection);
}

void RequestQuarantine::Tick(absl::Time now) {
  if (now - this->completions_sent_at >= kCompletionInterval) {
    this->completions_sent_at = now;
    this->SendCompletions();
  }
  if (now - this->rejections_sent_at >= kRejectionInterval) {
    this->rejections_sent_at = now;
    for (const auto& [fingerprint, rejection] : this->ledger.rejections) {
      if (rejection.is_own && rejection.expiry > now) {
        this->send_to_service(this->RejectionOf(fingerprint, now));
      }
    }
  }
}

void RequestQuarantine::SendCompletions() {
  for (const auto& [fingerprint, count] : this->unsent_completions) {
    schema::SuspectCompletions report;
    report.service = this->settings.service;
    report.vm_id = this->settings.vm_id;
    report.fingerprint = fingerprint;
    report.count = count;
    this->send_to_service(report);
  }
  this->unsent_completions.clear();
}

void RequestQuarantine::OnSettingsChanged() {
  if (this->ledger.settings.service != this->settings.service) {
    // Crashes of another service's workers say nothing about the local one.
    quarantine::CrashLedger fresh;
    fresh.rejections = std::move(this->ledger.rejections);
    this->ledger = std::move(fresh);
    this->unsent_completions.clear();
  }
  this->ledger.settings.service = this->settings.service;
  this->ledger.settings.vm_id = this->settings.vm_id;
}

void RequestQuarantine::ApplyEvidence(absl::Time now) {
  for (const uint64_t fingerprint :
       quarantine::RejectCulprits(this->ledger, now)) {
    const schema::RequestRejection report = this->RejectionOf(fingerprint, now);
    this->LogRejected(report, "evidence");
    if (this->ledger.rejections.at(fingerprint).is_own) {
      this->send_to_service(report);
      this->send_to_witnesses(report);
    }
  }
}

void RequestQuarantine::LogRejected(const schema::RequestRejection& rejection,
                                    absl::string_view source) {
  this->log.LogState(
      telemetry::LogLine("quarantine", "request_rejected")
          .Add("fingerprint", FormatFingerprint(rejection.fingerprint))
          .Add("service", rejection.service)
          .Add("crashes", rejection.crashes)
          .Add("source", source)
          .Add("expires_in_s", rejection.expiry_us / 1000000));
}

}  // namespace boragepaddle::proxy
