#ifndef BORAGEPADDLE_QUARANTINE_QUARANTINE_H_
#define BORAGEPADDLE_QUARANTINE_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::quarantine {

/// Bounds of the quarantine and identity of the node.
struct QuarantineSettings {
  std::string service;
  std::string vm_id;
  size_t max_entries = 4096;
  /// Time after which a suspect of one crash is free again.
  absl::Duration suspect_ttl = absl::Minutes(1);
  /// Time for which a request with two crashes is refused.
  absl::Duration refusal_ttl = absl::Minutes(10);
  /// Time for which a completed request is remembered as completed.
  absl::Duration completed_ttl = absl::Seconds(10);
};

/// A request that ran when a worker crashed.
struct Suspect {
  uint32_t crashes = 1;
  /// Newest crash that was counted.
  uint64_t crash_id = 0;
  /// Only VM that may run the request after one crash.
  std::string runner;
  uint32_t handover = 0;
  absl::Time expiry;
};

/// Suspects by fingerprint.
struct QuarantineState {
  QuarantineSettings settings;
  absl::btree_map<uint64_t, Suspect> suspects;
  /// Fingerprints that completed here in this period and the one before.
  absl::flat_hash_set<uint64_t> completed;
  absl::flat_hash_set<uint64_t> completed_previous;
  absl::Time completed_rotated_at = absl::InfinitePast();
};

/// What to do with a request.
enum class QuarantineDecision : uint8_t {
  /// No suspicion.
  kAllow,
  /// Run it with no second suspect beside it.
  kAllowExclusive,
  /// Another VM has to run it.
  kOtherVm,
  /// It crashed two workers.
  kReject,
};

/// The local worker crashed while these requests ran. Returns the reports
/// for the nodes of the service. `peers` are the other VMs of the service.
std::vector<schema::CrashReport> OnWorkerCrash(
    QuarantineState& state,
    absl::Span<const uint64_t> in_flight,
    uint64_t crash_id,
    absl::Span<const std::string> peers,
    absl::Time now);

/// Another node reported a crash, a change of the runner or a cleared suspect.
void OnCrashReport(QuarantineState& state,
                   const schema::CrashReport& report,
                   absl::Time now);

/// A request completed. Returns a report if it was a suspect and is cleared.
absl::optional<schema::CrashReport> OnCompleted(QuarantineState& state,
                                                uint64_t fingerprint,
                                                absl::Time now);

/// The VM cannot run its suspects: names other runners for them. The caller
/// is that VM (crash_id 0: all suspects), or the node that named it after a
/// crash and could not reach it; no other node may do this, or two VMs could
/// run one suspect.
std::vector<schema::CrashReport> ReassignSuspects(
    QuarantineState& state,
    absl::string_view from_vm,
    uint64_t crash_id,
    absl::Span<const std::string> peers,
    absl::Time now);

QuarantineDecision DecideAdmission(const QuarantineState& state,
                                   uint64_t fingerprint,
                                   absl::Time now);

void Expire(QuarantineState& state, absl::Time now);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_QUARANTINE_H_
