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

/// Limits of the quarantine and identity of the node.
struct QuarantineSettings {
  std::string service;
  std::string vm_id;
  size_t max_entries = 4096;
  /// Number of worker crashes after which every node rejects the request.
  uint32_t rejected_crashes = 2;
  /// Time after which a suspect with fewer crashes is forgotten.
  absl::Duration suspect_ttl = absl::Minutes(1);
  /// Time for which a request is rejected after its last crash.
  absl::Duration refusal_ttl = absl::Minutes(10);
  /// Time for which a completed request does not become a suspect.
  absl::Duration completed_ttl = absl::Seconds(10);
};

/// A request that was in flight when a worker crashed.
struct Suspect {
  uint32_t crashes = 1;
  /// Most recent crash that was counted.
  uint64_t crash_id = 0;
  /// The only VM that may run the request after one crash.
  std::string runner;
  uint32_t handover = 0;
  absl::Time expiry;
};

/// Suspects by request fingerprint, and recent completions.
struct QuarantineState {
  QuarantineSettings settings;
  absl::btree_map<uint64_t, Suspect> suspects;
  /// Fingerprints of requests that completed on this node, in the current and
  /// the previous period of `completed_ttl`.
  absl::flat_hash_set<uint64_t> completed;
  absl::flat_hash_set<uint64_t> completed_previous;
  absl::Time completed_rotated_at = absl::InfinitePast();
};

/// How a request is admitted.
enum class QuarantineDecision : uint8_t {
  /// The request is not a suspect.
  kAllow,
  /// May run, with no other suspect in flight at the same time.
  kAllowExclusive,
  /// Only another VM may run it.
  kOtherVm,
  /// The request was in flight in `rejected_crashes` worker crashes.
  kReject,
};

/// Records that the local worker crashed with these requests in flight.
/// Returns the reports to send to the nodes of the service. `peers` are the
/// other VMs of the service.
std::vector<schema::CrashReport> OnWorkerCrash(
    QuarantineState& state,
    absl::Span<const uint64_t> in_flight,
    uint64_t crash_id,
    absl::Span<const std::string> peers,
    absl::Time now);

/// Applies a report of another node: a crash, a new runner or a cleared
/// suspect.
void OnCrashReport(QuarantineState& state,
                   const schema::CrashReport& report,
                   absl::Time now);

/// Records a completed request. Returns a report if this clears a suspect.
absl::optional<schema::CrashReport> OnCompleted(QuarantineState& state,
                                                uint64_t fingerprint,
                                                absl::Time now);

/// Assigns new runners to the suspects of a VM that cannot run them. Only two
/// nodes may call this, as otherwise two VMs could run the same suspect: the VM
/// itself (`crash_id` 0: all its suspects), and the node that assigned the
/// suspects of the crash `crash_id` to a VM and could not reach it.
std::vector<schema::CrashReport> ReassignSuspects(
    QuarantineState& state,
    absl::string_view from_vm,
    uint64_t crash_id,
    absl::Span<const std::string> peers,
    absl::Time now);

/// Reports of all suspects, for a node that may have missed them.
std::vector<schema::CrashReport> AllReports(const QuarantineState& state,
                                            absl::Time now);

/// Reports of the rejected requests whose last crash this node reported.
std::vector<schema::CrashReport> OwnRejections(const QuarantineState& state,
                                               absl::Time now);

/// Returns whether and where the request may run.
QuarantineDecision DecideAdmission(const QuarantineState& state,
                                   uint64_t fingerprint,
                                   absl::Time now);

/// Removes expired suspects.
void Expire(QuarantineState& state, absl::Time now);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_QUARANTINE_H_
