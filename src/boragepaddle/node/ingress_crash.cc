#include "boragepaddle/node/ingress_crash.h"

#include <iterator>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/base/stable_hash.h"
#include "boragepaddle/node/ingress_answer.h"

namespace boragepaddle::node {

namespace {

using schema::Reason;

uint64_t CrashId(const IngressState& state, uint64_t crash) {
  return base::StableHash(
      {absl::StrCat(state.settings.incarnation), absl::StrCat(crash)});
}

/// Returns the crash during which the call ran, or 0.
uint64_t CrashOf(const IngressState& state, CallKey key) {
  for (const auto& [crash, event] : state.crashes) {
    if (event.in_flight.contains(key)) {
      return crash;
    }
  }
  return 0;
}

/// Records a crash after the worker broke a call. All requests that it was
/// running are suspects.
uint64_t StartCrash(IngressState& state,
                    absl::Time now,
                    IngressActions& actions) {
  const uint64_t crash = state.next_crash++;
  CrashEvent& event = state.crashes[crash];
  std::vector<uint64_t> fingerprints;
  for (const auto& [key, call] : state.calls) {
    // Calls broken by an earlier crash were already counted.
    if (call.begun != absl::InfinitePast() && CrashOf(state, key) == 0) {
      event.in_flight.insert(key);
      if (state.settings.quarantine) {
        fingerprints.push_back(call.request.fingerprint);
      }
    }
  }
  auto reports = quarantine::OnWorkerCrash(
      state.quarantine, fingerprints, CrashId(state, crash), state.peers, now);
  event.release_at = now + state.settings.report_hold;
  if (!reports.empty() && !state.peers.empty()) {
    event.unconfirmed.insert(state.peers.begin(), state.peers.end());
    actions.push_back(ReportCrash{crash, std::move(reports)});
  }
  return crash;
}

void Probe(IngressState& state, absl::Time now, IngressActions& actions) {
  state.probe_pending = true;
  state.probed_at = now;
  actions.push_back(ProbeWorker{});
}

void ReleaseAnswers(const IngressState& state,
                    CrashEvent& event,
                    absl::Time now,
                    IngressActions& actions) {
  event.unconfirmed.clear();
  for (AnswerCall& answer : event.held) {
    answer.answer.admission_level = IngressLevel(state, now);
    actions.push_back(std::move(answer));
  }
  event.held.clear();
}

/// Removes events without calls at the worker and without held answers.
void RemoveEnded(IngressState& state) {
  for (auto next = state.crashes.begin(); next != state.crashes.end();) {
    const CrashEvent& event = next->second;
    const bool ended = event.in_flight.empty() && event.unconfirmed.empty();
    next = ended ? state.crashes.erase(next) : std::next(next);
  }
}

/// Assigns other VMs to run the suspects of a VM. Crash id 0 means any crash.
void ReportHandOver(IngressState& state,
                    absl::string_view from_vm,
                    uint64_t crash_id,
                    absl::Time now,
                    IngressActions& actions) {
  auto reports = quarantine::ReassignSuspects(state.quarantine, from_vm,
                                              crash_id, state.peers, now);
  if (!reports.empty() && !state.peers.empty()) {
    actions.push_back(ReportCrash{0, std::move(reports)});
  }
}

void RefuseWaitingSuspects(IngressState& state,
                           absl::Time now,
                           IngressActions& actions) {
  while (!state.suspects.empty()) {
    const CallKey key = state.suspects.front();
    state.suspects.pop_front();
    RefuseCall(state, key, Reason::kWorkerLost, now, actions);
  }
}

}  // namespace

uint64_t OnCallLeftWorker(IngressState& state,
                          CallKey key,
                          WorkerCallEnd end,
                          absl::Time now,
                          IngressActions& actions) {
  uint64_t crash = CrashOf(state, key);
  const bool lost =
      end == WorkerCallEnd::kBroken || end == WorkerCallEnd::kNotSent;
  if (end == WorkerCallEnd::kBroken && crash == 0) {
    crash = StartCrash(state, now, actions);
  }
  if (lost && state.worker == WorkerState::kUp) {
    state.worker = WorkerState::kProbing;
    Probe(state, now, actions);
  }
  if (crash != 0) {
    state.crashes.at(crash).in_flight.erase(key);
  }
  return end == WorkerCallEnd::kBroken ? crash : 0;
}

IngressActions OnWorkerProbe(IngressState& state,
                             bool accepts,
                             absl::Time now) {
  RecordEvent(state.pause, now);
  state.probe_pending = false;
  IngressActions actions;
  if (accepts) {
    if (state.worker == WorkerState::kDown) {
      limits::OnWorkerRecovered(state.limit, now);
    }
    state.worker = WorkerState::kUp;
    Apply(state, admission::OnTick(state.admission, RunLimit(state, now), now),
          now, actions);
  } else if (state.worker != WorkerState::kDown) {
    state.worker = WorkerState::kDown;
    Apply(state, admission::ShedQueued(state.admission, Reason::kWorkerLost),
          now, actions);
    RefuseWaitingSuspects(state, now, actions);
    ReportHandOver(state, state.settings.vm_id, 0, now, actions);
  }
  AdmitSuspects(state, now, actions);
  return actions;
}

IngressActions OnReportResult(IngressState& state,
                              uint64_t crash,
                              absl::string_view vm_id,
                              bool reached,
                              absl::Time now) {
  RecordEvent(state.pause, now);
  IngressActions actions;
  if (!reached) {
    ReportHandOver(state, vm_id, CrashId(state, crash), now, actions);
  }
  const auto found = state.crashes.find(crash);
  if (found == state.crashes.end()) {
    return actions;
  }
  CrashEvent& event = found->second;
  event.unconfirmed.erase(std::string(vm_id));
  if (event.unconfirmed.empty()) {
    ReleaseAnswers(state, event, now, actions);
  }
  RemoveEnded(state);
  return actions;
}

IngressActions OnCrashReport(IngressState& state,
                             const schema::CrashReport& report,
                             absl::Time now) {
  RecordEvent(state.pause, now);
  quarantine::OnCrashReport(state.quarantine, report, now);
  IngressActions actions;
  // The reporter does not know whether other workers are down.
  if (state.worker == WorkerState::kDown) {
    ReportHandOver(state, state.settings.vm_id, 0, now, actions);
  }
  return actions;
}

void TickCrashes(IngressState& state, absl::Time now, IngressActions& actions) {
  for (auto& [crash, event] : state.crashes) {
    if (now >= event.release_at) {
      ReleaseAnswers(state, event, now, actions);
    }
  }
  RemoveEnded(state);
  if (state.worker == WorkerState::kDown && !state.probe_pending &&
      now >= state.probed_at + state.settings.probe_interval) {
    Probe(state, now, actions);
  }
}

}  // namespace boragepaddle::node
