#include "boragepaddle/quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepaddle::quarantine {

namespace {

using schema::CrashReport;

// Stops the reassignment when all workers of the service are down. The last
// runner then executes the request once its worker has recovered.
constexpr uint32_t kMaxHandovers = 16;

/// Selects the VM that runs a suspect by the request's fingerprint, which
/// distributes the suspects of one crash over the service. Falls back to the
/// local VM if there is no other.
std::string ChooseRunner(const QuarantineState& state,
                         uint64_t fingerprint,
                         uint32_t handover,
                         absl::string_view excluded,
                         absl::Span<const std::string> peers) {
  std::vector<absl::string_view> candidates;
  for (const std::string& peer : peers) {
    if (peer != excluded && peer != state.settings.vm_id) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    return state.settings.vm_id;
  }
  return std::string(candidates[(fingerprint + handover) % candidates.size()]);
}

bool IsRejected(const QuarantineState& state, const Suspect& suspect) {
  return suspect.crashes >= state.settings.rejected_crashes;
}

absl::Duration EntryTtl(const QuarantineState& state, uint32_t crashes) {
  return crashes >= state.settings.rejected_crashes
             ? state.settings.refusal_ttl
             : state.settings.suspect_ttl;
}

CrashReport MakeReport(const QuarantineState& state,
                       uint64_t fingerprint,
                       const Suspect& suspect,
                       absl::Time now) {
  CrashReport report;
  report.service = state.settings.service;
  report.fingerprint = fingerprint;
  report.crashes = suspect.crashes;
  report.expiry_us = absl::ToInt64Microseconds(suspect.expiry - now);
  report.crash_id = suspect.crash_id;
  report.runner = suspect.runner;
  report.handover = suspect.handover;
  return report;
}

/// Reports of the suspects that are not expired and match.
template <typename Matches>
std::vector<CrashReport> ReportsIf(const QuarantineState& state,
                                   absl::Time now,
                                   Matches matches) {
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, suspect] : state.suspects) {
    if (suspect.expiry > now && matches(suspect)) {
      reports.push_back(MakeReport(state, fingerprint, suspect, now));
    }
  }
  return reports;
}

/// Evicts one entry if the table is full. Suspects are evicted
/// before rejected requests; within each group, the earliest expiry goes first.
void EvictIfFull(QuarantineState& state) {
  if (state.suspects.size() < state.settings.max_entries) {
    return;
  }
  const auto evicted = std::min_element(
      state.suspects.begin(), state.suspects.end(),
      [&state](const auto& a, const auto& b) {
        const bool a_refused = IsRejected(state, a.second);
        const bool b_refused = IsRejected(state, b.second);
        return a_refused != b_refused ? b_refused
                                      : a.second.expiry < b.second.expiry;
      });
  state.suspects.erase(evicted);
}

Suspect& FindOrInsert(QuarantineState& state, uint64_t fingerprint) {
  if (!state.suspects.contains(fingerprint)) {
    EvictIfFull(state);
  }
  return state.suspects[fingerprint];
}

void RecordCompletion(QuarantineState& state,
                      uint64_t fingerprint,
                      absl::Time now) {
  const bool full = state.completed.size() >= state.settings.max_entries;
  if (full ||
      now >= state.completed_rotated_at + state.settings.completed_ttl) {
    state.completed_previous = std::move(state.completed);
    state.completed.clear();
    state.completed_rotated_at = now;
  }
  state.completed.insert(fingerprint);
}

/// Returns true, once per completion, if the request recently completed on this
/// node. Clients often resend identical bodies; without this check, two
/// unrelated worker crashes would get such a body rejected.
bool ConsumeCompletion(QuarantineState& state,
                       uint64_t fingerprint,
                       absl::Time now) {
  if (now >= state.completed_rotated_at + 2 * state.settings.completed_ttl) {
    return false;
  }
  const size_t now_known = state.completed.erase(fingerprint);
  return now_known + state.completed_previous.erase(fingerprint) > 0;
}

}  // namespace

std::vector<CrashReport> OnWorkerCrash(QuarantineState& state,
                                       absl::Span<const uint64_t> in_flight,
                                       uint64_t crash_id,
                                       absl::Span<const std::string> peers,
                                       absl::Time now) {
  Expire(state, now);
  std::vector<CrashReport> reports;
  for (const uint64_t fingerprint : in_flight) {
    const bool known = state.suspects.contains(fingerprint);
    if (!known && ConsumeCompletion(state, fingerprint, now)) {
      continue;
    }
    Suspect& suspect = FindOrInsert(state, fingerprint);
    if (known && suspect.crash_id == crash_id) {
      // Two requests with the same fingerprint were in flight; the crash is
      // counted once.
      continue;
    }
    suspect.crashes = known ? suspect.crashes + 1 : 1;
    suspect.crash_id = crash_id;
    suspect.runner = ChooseRunner(state, fingerprint, suspect.handover,
                                  state.settings.vm_id, peers);
    suspect.expiry = now + EntryTtl(state, suspect.crashes);
    reports.push_back(MakeReport(state, fingerprint, suspect, now));
  }
  return reports;
}

void OnCrashReport(QuarantineState& state,
                   const CrashReport& report,
                   absl::Time now) {
  if (report.service != state.settings.service) {
    return;
  }
  Expire(state, now);
  const auto found = state.suspects.find(report.fingerprint);
  if (report.crashes == 0) {
    if (found != state.suspects.end() &&
        found->second.crash_id == report.crash_id) {
      state.suspects.erase(found);
    }
    return;
  }
  const absl::Time expiry = now + std::min(absl::Microseconds(report.expiry_us),
                                           state.settings.refusal_ttl);
  if (found == state.suspects.end()) {
    FindOrInsert(state, report.fingerprint) = {report.crashes, report.crash_id,
                                               report.runner, report.handover,
                                               expiry};
    return;
  }
  Suspect& suspect = found->second;
  if (suspect.crash_id != report.crash_id) {
    // The crash is not the last one counted here: this node and the reporting
    // node each counted a different crash.
    suspect.crashes = std::max(suspect.crashes + 1, report.crashes);
    suspect.crash_id = report.crash_id;
    suspect.expiry = now + EntryTtl(state, suspect.crashes);
  }
  if (report.handover >= suspect.handover) {
    suspect.runner = report.runner;
    suspect.handover = report.handover;
  }
}

absl::optional<CrashReport> OnCompleted(QuarantineState& state,
                                        uint64_t fingerprint,
                                        absl::Time now) {
  RecordCompletion(state, fingerprint, now);
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || IsRejected(state, found->second)) {
    return absl::nullopt;
  }
  CrashReport report = MakeReport(state, fingerprint, found->second, now);
  report.crashes = 0;
  state.suspects.erase(found);
  return report;
}

std::vector<CrashReport> ReassignSuspects(QuarantineState& state,
                                          absl::string_view from_vm,
                                          uint64_t crash_id,
                                          absl::Span<const std::string> peers,
                                          absl::Time now) {
  std::vector<CrashReport> reports;
  for (auto& [fingerprint, suspect] : state.suspects) {
    const bool other_crash = crash_id != 0 && suspect.crash_id != crash_id;
    if (IsRejected(state, suspect) || suspect.runner != from_vm ||
        other_crash || suspect.handover >= kMaxHandovers) {
      continue;
    }
    ++suspect.handover;
    suspect.runner =
        ChooseRunner(state, fingerprint, suspect.handover, from_vm, peers);
    reports.push_back(MakeReport(state, fingerprint, suspect, now));
  }
  return reports;
}

std::vector<CrashReport> AllReports(const QuarantineState& state,
                                    absl::Time now) {
  return ReportsIf(state, now, [](const Suspect& /*suspect*/) { return true; });
}

std::vector<CrashReport> OwnRejections(const QuarantineState& state,
                                       absl::Time now) {
  return ReportsIf(state, now, [&state](const Suspect& suspect) {
    return IsRejected(state, suspect) && suspect.runner == state.settings.vm_id;
  });
}

QuarantineDecision DecideAdmission(const QuarantineState& state,
                                   uint64_t fingerprint,
                                   absl::Time now) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || found->second.expiry <= now) {
    return QuarantineDecision::kAllow;
  }
  const Suspect& suspect = found->second;
  if (IsRejected(state, suspect)) {
    return QuarantineDecision::kReject;
  }
  return suspect.runner == state.settings.vm_id
             ? QuarantineDecision::kAllowExclusive
             : QuarantineDecision::kOtherVm;
}

void Expire(QuarantineState& state, absl::Time now) {
  for (auto next = state.suspects.begin(); next != state.suspects.end();) {
    next = next->second.expiry <= now ? state.suspects.erase(next)
                                      : std::next(next);
  }
}

}  // namespace boragepaddle::quarantine
