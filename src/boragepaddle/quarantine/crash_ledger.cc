#include "boragepaddle/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragepaddle::quarantine {

namespace {

/// Limit on the ids of applied crashes, as a multiple of `max_crashes`: crashes
/// that a rejected request explains are applied without being kept.
constexpr size_t kAppliedPerKeptCrash = 4;

/// Removes one entry with the earliest expiry if the map is full.
template <typename Map, typename Expiry>
void EvictIfFull(Map& map, size_t max_entries, Expiry expiry) {
  if (map.size() < max_entries) {
    return;
  }
  map.erase(std::min_element(map.begin(), map.end(),
                             [&](const auto& a, const auto& b) {
                               return expiry(a.second) < expiry(b.second);
                             }));
}

bool HasSuspect(const Crash& crash, uint64_t fingerprint) {
  return std::binary_search(crash.suspects.begin(), crash.suspects.end(),
                            fingerprint);
}

/// Removes a crash, and the records of suspects that no other crash names.
void RemoveCrash(CrashLedger& ledger, uint64_t crash_id) {
  const auto found = ledger.crashes.find(crash_id);
  for (const uint64_t fingerprint : found->second.suspects) {
    const auto record = ledger.suspects.find(fingerprint);
    if (--record->second.crashes == 0) {
      ledger.suspects.erase(record);
    }
  }
  ledger.crashes.erase(found);
}

/// False if the crash was applied before.
bool MarkApplied(CrashLedger& ledger, uint64_t crash_id, absl::Time expiry) {
  if (ledger.applied.contains(crash_id)) {
    return false;
  }
  EvictIfFull(ledger.applied,
              kAppliedPerKeptCrash * ledger.settings.max_crashes,
              [](absl::Time time) { return time; });
  ledger.applied[crash_id] = expiry;
  return true;
}

/// Extends the rejections of those suspects that are rejected. Returns true if
/// there are any: they explain the crash, which then says nothing about the
/// other suspects.
bool ExtendRejections(CrashLedger& ledger, const Crash& crash, absl::Time now) {
  bool is_explained = false;
  for (const uint64_t fingerprint : crash.suspects) {
    const auto found = ledger.rejections.find(fingerprint);
    if (found == ledger.rejections.end() || found->second.expiry <= now) {
      continue;
    }
    Rejection& rejection = found->second;
    ++rejection.crashes;
    rejection.expiry = now + ledger.settings.rejection_ttl;
    rejection.is_own |= crash.vm_id == ledger.settings.vm_id;
    is_explained = true;
  }
  return is_explained;
}

void AddCrash(CrashLedger& ledger,
              uint64_t crash_id,
              Crash crash,
              absl::Time now) {
  std::vector<uint64_t>& suspects = crash.suspects;
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  if (!MarkApplied(ledger, crash_id, crash.expiry) ||
      ExtendRejections(ledger, crash, now)) {
    return;
  }
  if (ledger.crashes.size() >= ledger.settings.max_crashes) {
    RemoveCrash(ledger,
                std::min_element(ledger.crashes.begin(), ledger.crashes.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.expiry < b.second.expiry;
                                 })
                    ->first);
  }
  for (const uint64_t fingerprint : suspects) {
    ++ledger.suspects[fingerprint].crashes;
  }
  ledger.crashes[crash_id] = std::move(crash);
}

void RecordCompletion(CrashLedger& ledger,
                      uint64_t fingerprint,
                      absl::Time now) {
  const bool full = ledger.completed.size() >= ledger.settings.max_completed;
  if (full ||
      now >= ledger.completed_rotated_at + ledger.settings.completed_ttl) {
    ledger.completed_previous = std::move(ledger.completed);
    ledger.completed.clear();
    ledger.completed_rotated_at = now;
  }
  ledger.completed.insert(fingerprint);
}

/// Returns true, once per completion, if the request recently completed on this
/// node. Without this check, a request that clients send often would be a
/// suspect of each crash of a worker.
bool ConsumeCompletion(CrashLedger& ledger,
                       uint64_t fingerprint,
                       absl::Time now) {
  if (now >= ledger.completed_rotated_at + 2 * ledger.settings.completed_ttl) {
    return false;
  }
  const size_t now_known = ledger.completed.erase(fingerprint);
  return now_known + ledger.completed_previous.erase(fingerprint) > 0;
}

/// Removes the suspect from the crashes for which `matches` is true.
template <typename Matches>
void ClearSuspect(CrashLedger& ledger, uint64_t fingerprint, Matches matches) {
  const auto record = ledger.suspects.find(fingerprint);
  for (auto& [crash_id, crash] : ledger.crashes) {
    const auto position = std::lower_bound(crash.suspects.begin(),
                                           crash.suspects.end(), fingerprint);
    if (HasSuspect(crash, fingerprint) && matches(crash)) {
      crash.suspects.erase(position);
      --record->second.crashes;
    }
  }
  if (record->second.crashes == 0) {
    ledger.suspects.erase(record);
  }
}

/// Counts completions of a suspect on a VM. They show that the request did not
/// cause earlier crashes there. Elsewhere, only many of them show it, since a
/// request may crash only some of the workers that run it.
void CountCompletions(CrashLedger& ledger,
                      uint64_t fingerprint,
                      absl::string_view vm_id,
                      uint32_t count) {
  const auto found = ledger.suspects.find(fingerprint);
  if (found == ledger.suspects.end()) {
    return;
  }
  SuspectRecord& record = found->second;
  record.completions += count;
  const bool is_cleared =
      record.completions >=
      record.crashes * ledger.settings.completions_per_crash;
  ClearSuspect(ledger, fingerprint, [&](const Crash& crash) {
    return is_cleared || crash.vm_id == vm_id;
  });
}

/// The suspects to blame for enough crashes, in ascending order. A crash is
/// blamed on those of its suspects that most crashes name: on several if the
/// ledger cannot choose.
std::vector<uint64_t> FindCulprits(const CrashLedger& ledger) {
  absl::btree_map<uint64_t, uint32_t> blame;
  for (const auto& [crash_id, crash] : ledger.crashes) {
    uint32_t most = 0;
    for (const uint64_t fingerprint : crash.suspects) {
      most = std::max(most, ledger.suspects.at(fingerprint).crashes);
    }
    for (const uint64_t fingerprint : crash.suspects) {
      blame[fingerprint] += ledger.suspects.at(fingerprint).crashes == most;
    }
  }
  std::vector<uint64_t> culprits;
  for (const auto& [fingerprint, crashes] : blame) {
    if (crashes >= ledger.settings.rejected_crashes) {
      culprits.push_back(fingerprint);
    }
  }
  return culprits;
}

/// Rejects the request for the crashes that name it.
void Reject(CrashLedger& ledger, uint64_t fingerprint, absl::Time now) {
  EvictIfFull(ledger.rejections, ledger.settings.max_rejections,
              [](const Rejection& other) { return other.expiry; });
  Rejection& rejection = ledger.rejections[fingerprint];
  rejection.service = ledger.settings.service;
  rejection.crashes = ledger.suspects.at(fingerprint).crashes;
  rejection.expiry = now + ledger.settings.rejection_ttl;
  for (const auto& [crash_id, crash] : ledger.crashes) {
    rejection.is_own |=
        crash.vm_id == ledger.settings.vm_id && HasSuspect(crash, fingerprint);
  }
}

/// Drops the crashes that rejected requests explain.
void DropExplainedCrashes(CrashLedger& ledger,
                          absl::Span<const uint64_t> rejected) {
  std::vector<uint64_t> explained;
  for (const uint64_t fingerprint : rejected) {
    for (const auto& [crash_id, crash] : ledger.crashes) {
      if (HasSuspect(crash, fingerprint)) {
        explained.push_back(crash_id);
      }
    }
  }
  std::sort(explained.begin(), explained.end());
  explained.erase(std::unique(explained.begin(), explained.end()),
                  explained.end());
  for (const uint64_t crash_id : explained) {
    RemoveCrash(ledger, crash_id);
  }
}

schema::WorkerCrash MakeReport(const CrashLedger& ledger,
                               uint64_t crash_id,
                               const Crash& crash,
                               absl::Time now) {
  schema::WorkerCrash report;
  report.service = ledger.settings.service;
  report.vm_id = crash.vm_id;
  report.crash_id = crash_id;
  report.expiry_us = absl::ToInt64Microseconds(crash.expiry - now);
  report.suspects = crash.suspects;
  return report;
}

schema::RequestRejection MakeReport(uint64_t fingerprint,
                                    const Rejection& rejection,
                                    absl::Time now) {
  schema::RequestRejection report;
  report.service = rejection.service;
  report.fingerprint = fingerprint;
  report.crashes = rejection.crashes;
  report.expiry_us = absl::ToInt64Microseconds(rejection.expiry - now);
  return report;
}

}  // namespace

schema::WorkerCrash OnLocalCrash(CrashLedger& ledger,
                                 absl::Span<const uint64_t> suspects,
                                 uint64_t crash_id,
                                 absl::Time now) {
  Expire(ledger, now);
  Crash crash;
  crash.expiry = now + ledger.settings.crash_ttl;
  crash.vm_id = ledger.settings.vm_id;
  for (const uint64_t fingerprint : suspects) {
    if (crash.suspects.size() < ledger.settings.max_suspects &&
        (ledger.suspects.contains(fingerprint) ||
         !ConsumeCompletion(ledger, fingerprint, now))) {
      crash.suspects.push_back(fingerprint);
    }
  }
  schema::WorkerCrash report = MakeReport(ledger, crash_id, crash, now);
  AddCrash(ledger, crash_id, std::move(crash), now);
  return report;
}

void OnCrash(CrashLedger& ledger,
             const schema::WorkerCrash& report,
             absl::Time now) {
  if (report.service != ledger.settings.service) {
    return;
  }
  Expire(ledger, now);
  Crash crash;
  crash.vm_id = report.vm_id;
  crash.suspects = report.suspects;
  crash.suspects.resize(
      std::min(crash.suspects.size(), ledger.settings.max_suspects));
  crash.expiry = now + std::min(absl::Microseconds(report.expiry_us),
                                ledger.settings.crash_ttl);
  AddCrash(ledger, report.crash_id, std::move(crash), now);
}

bool OnCompleted(CrashLedger& ledger, uint64_t fingerprint, absl::Time now) {
  RecordCompletion(ledger, fingerprint, now);
  if (!ledger.suspects.contains(fingerprint)) {
    return false;
  }
  CountCompletions(ledger, fingerprint, ledger.settings.vm_id, 1);
  return true;
}

void OnSuspectCompletions(CrashLedger& ledger,
                          const schema::SuspectCompletions& report) {
  if (report.service == ledger.settings.service) {
    CountCompletions(ledger, report.fingerprint, report.vm_id, report.count);
  }
}

bool OnRejection(CrashLedger& ledger,
                 const schema::RequestRejection& report,
                 absl::Time now) {
  Expire(ledger, now);
  const absl::Time expiry = now + std::min(absl::Microseconds(report.expiry_us),
                                           ledger.settings.rejection_ttl);
  const auto found = ledger.rejections.find(report.fingerprint);
  if (found != ledger.rejections.end()) {
    Rejection& rejection = found->second;
    rejection.crashes = std::max(rejection.crashes, report.crashes);
    rejection.expiry = std::max(rejection.expiry, expiry);
    return false;
  }
  EvictIfFull(ledger.rejections, ledger.settings.max_rejections,
              [](const Rejection& rejection) { return rejection.expiry; });
  Rejection& rejection = ledger.rejections[report.fingerprint];
  rejection.service = report.service;
  rejection.crashes = report.crashes;
  rejection.expiry = expiry;
  return true;
}

std::vector<uint64_t> RejectCulprits(CrashLedger& ledger, absl::Time now) {
  std::vector<uint64_t> culprits = FindCulprits(ledger);
  for (const uint64_t fingerprint : culprits) {
    Reject(ledger, fingerprint, now);
  }
  DropExplainedCrashes(ledger, culprits);
  return culprits;
}

bool IsRejected(const CrashLedger& ledger,
                uint64_t fingerprint,
                absl::Time now) {
  const auto found = ledger.rejections.find(fingerprint);
  return found != ledger.rejections.end() && found->second.expiry > now;
}

std::vector<schema::WorkerCrash> CrashReports(const CrashLedger& ledger,
                                              absl::Time now) {
  std::vector<schema::WorkerCrash> reports;
  for (const auto& [crash_id, crash] : ledger.crashes) {
    if (crash.expiry > now) {
      reports.push_back(MakeReport(ledger, crash_id, crash, now));
    }
  }
  return reports;
}

std::vector<schema::RequestRejection> RejectionReports(
    const CrashLedger& ledger,
    absl::string_view service,
    absl::Time now) {
  std::vector<schema::RequestRejection> reports;
  for (const auto& [fingerprint, rejection] : ledger.rejections) {
    if (rejection.expiry > now && rejection.service == service) {
      reports.push_back(MakeReport(fingerprint, rejection, now));
    }
  }
  return reports;
}

schema::RequestRejection RejectionReport(const CrashLedger& ledger,
                                         uint64_t fingerprint,
                                         absl::Time now) {
  return MakeReport(fingerprint, ledger.rejections.at(fingerprint), now);
}

void Expire(CrashLedger& ledger, absl::Time now) {
  std::vector<uint64_t> expired;
  for (const auto& [crash_id, crash] : ledger.crashes) {
    if (crash.expiry <= now) {
      expired.push_back(crash_id);
    }
  }
  for (const uint64_t crash_id : expired) {
    RemoveCrash(ledger, crash_id);
  }
  absl::erase_if(ledger.applied,
                 [now](const auto& entry) { return entry.second <= now; });
  for (auto next = ledger.rejections.begin();
       next != ledger.rejections.end();) {
    next = next->second.expiry <= now ? ledger.rejections.erase(next)
                                      : std::next(next);
  }
}

}  // namespace boragepaddle::quarantine
