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

absl::Duration Life(const QuarantineState& state, uint32_t crashes) {
  return crashes >= kRefusedCrashes ? state.settings.refusal_life
                                    : state.settings.suspect_life;
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
void MakeRoom(QuarantineState& state) {
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

Suspect& Emplace(QuarantineState& state, uint64_t fingerprint) {
  if (!state.suspects.contains(fingerprint)) {
    MakeRoom(state);
  }
  return state.suspects[fingerprint];
}

void RememberHarmless(QuarantineState& state,
                      uint64_t fingerprint,
                      absl::Time now) {
  const bool full = state.harmless.size() >= state.settings.max_entries;
  if (full || now >= state.harmless_since + state.settings.harmless_life) {
    state.harmless_before = std::move(state.harmless);
    state.harmless.clear();
    state.harmless_since = now;
  }
  state.harmless.insert(fingerprint);
}

/// True once for a request that completed here a short time ago. Clients send
/// the same body over and over; two workers that die for another reason must
/// not get that body refused.
bool TakeHarmless(QuarantineState& state,
                  uint64_t fingerprint,
                  absl::Time now) {
  if (now >= state.harmless_since + 2 * state.settings.harmless_life) {
    return false;
  }
  const size_t now_known = state.harmless.erase(fingerprint);
  return now_known + state.harmless_before.erase(fingerprint) > 0;
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
    if (!known && TakeHarmless(state, fingerprint, now)) {
      continue;
    }
    Suspect& suspect = Emplace(state, fingerprint);
    if (known && suspect.crash_id == crash_id) {
      // Two requests with one fingerprint ran at the time of the crash.
      continue;
    }
    suspect.crashes = known ? suspect.crashes + 1 : 1;
    suspect.crash_id = crash_id;
    suspect.runner = ChooseRunner(state, fingerprint, suspect.handover,
                                  state.settings.vm_id, peers);
    suspect.expiry = now + Life(state, suspect.crashes);
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
                                           state.settings.refusal_life);
  if (found == state.suspects.end()) {
    Emplace(state, report.fingerprint) = {report.crashes, report.crash_id,
                                          report.runner, report.handover,
                                          expiry};
    return;
  }
  Suspect& suspect = found->second;
  if (suspect.crash_id != report.crash_id) {
    // Two nodes had a crash of their own.
    suspect.crashes = std::max(suspect.crashes + 1, report.crashes);
    suspect.crash_id = report.crash_id;
    suspect.expiry = now + Life(state, suspect.crashes);
  }
  if (report.handover >= suspect.handover) {
    suspect.runner = report.runner;
    suspect.handover = report.handover;
  }
}

absl::optional<CrashReport> OnCompleted(QuarantineState& state,
                                        uint64_t fingerprint,
                                        absl::Time now) {
  RememberHarmless(state, fingerprint, now);
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

std::vector<CrashReport> HandOver(QuarantineState& state,
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

Verdict Judge(const QuarantineState& state,
              uint64_t fingerprint,
              absl::Time now) {
  const auto found = state.suspects.find(fingerprint);
  if (found == state.suspects.end() || found->second.expiry <= now) {
    return Verdict::kFree;
  }
  const Suspect& suspect = found->second;
  if (suspect.crashes >= kRefusedCrashes) {
    return Verdict::kRefuse;
  }
  return suspect.runner == state.settings.vm_id ? Verdict::kAlone
                                                : Verdict::kElsewhere;
}

void Expire(QuarantineState& state, absl::Time now) {
  for (auto next = state.suspects.begin(); next != state.suspects.end();) {
    next = next->second.expiry <= now ? state.suspects.erase(next)
                                      : std::next(next);
  }
}

}  // namespace boragepaddle::quarantine
