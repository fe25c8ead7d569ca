#include "boragepaddle/quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepaddle::quarantine {

namespace {

using schema::CrashReport;

// A request that crashes two workers is refused everywhere.
constexpr uint32_t kRefusedCrashes = 2;
// Ends the exchange when all workers of the service are down. The last runner
// then runs the request when its worker is back.
constexpr uint32_t kMaxHandovers = 16;

/// The runner of a suspect, by its fingerprint, so that the suspects of one
/// crash are spread over the service. The own VM if there is no other.
std::string ChooseRunner(const QuarantineState& state,
                         uint64_t fingerprint,
                         uint32_t handover,
                         absl::string_view unfit,
                         absl::Span<const std::string> peers) {
  std::vector<absl::string_view> fit;
  for (const std::string& peer : peers) {
    if (peer != unfit && peer != state.settings.vm_id) {
      fit.push_back(peer);
    }
  }
  if (fit.empty()) {
    return state.settings.vm_id;
  }
  return std::string(fit[(fingerprint + handover) % fit.size()]);
}

absl::Duration EntryTtl(const QuarantineState& state, uint32_t crashes) {
  return crashes >= kRefusedCrashes ? state.settings.refusal_ttl
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

/// Makes room for one entry. Suspects of one crash go first, then the one
/// that expires first.
void EvictIfFull(QuarantineState& state) {
  if (state.suspects.size() < state.settings.max_entries) {
    return;
  }
  const auto victim = std::min_element(
      state.suspects.begin(), state.suspects.end(),
      [](const auto& a, const auto& b) {
        const bool a_refused = a.second.crashes >= kRefusedCrashes;
        const bool b_refused = b.second.crashes >= kRefusedCrashes;
        return a_refused != b_refused ? b_refused
                                      : a.second.expiry < b.second.expiry;
      });
  state.suspects.erase(victim);
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

/// True once for a request that completed here a short time ago. Clients send
/// the same body over and over; two workers that die for another reason must
/// not get that body refused.
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
      // Two requests with one fingerprint ran at the time of the crash.
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
    // Two nodes had a crash of their own.
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
  if (found == state.suspects.end() ||
      found->second.crashes >= kRefusedCrashes) {
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
    if (suspect.crashes >= kRefusedCrashes || suspect.runner != from_vm ||
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

QuarantineDecision DecideAdmission(const QuarantineState& state,
                                   uint64_t fingerprint,
                                   absl::Time now) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || found->second.expiry <= now) {
    return QuarantineDecision::kAllow;
  }
  const Suspect& suspect = found->second;
  if (suspect.crashes >= kRefusedCrashes) {
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
