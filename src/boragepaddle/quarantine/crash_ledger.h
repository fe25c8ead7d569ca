#ifndef BORAGEPADDLE_QUARANTINE_CRASH_LEDGER_H_
#define BORAGEPADDLE_QUARANTINE_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::quarantine {

/// Limits of a crash ledger and identity of the node.
struct CrashLedgerSettings {
  std::string service;
  std::string vm_id;
  /// Crashes to blame on a request after which it is rejected.
  uint32_t rejected_crashes = 3;
  /// Completions for each of its crashes that clear a suspect.
  uint32_t completions_per_crash = 8;
  /// Time for which a crash counts against its suspects.
  absl::Duration crash_ttl = absl::Minutes(1);
  /// Time for which a request is rejected after its last crash.
  absl::Duration rejection_ttl = absl::Minutes(10);
  /// Time for which a completed request does not become a suspect.
  absl::Duration completed_ttl = absl::Seconds(10);
  size_t max_crashes = 256;
  size_t max_suspects = 512;
  size_t max_rejections = 4096;
  size_t max_completed = 4096;
};

/// A crash of a worker of the service, with the requests that may have caused
/// it.
struct Crash {
  /// VM of the worker.
  std::string vm_id;
  std::vector<uint64_t> suspects;
  absl::Time expiry;
};

/// Evidence about one request.
struct SuspectRecord {
  /// Crashes in the ledger that name it.
  uint32_t crashes = 0;
  /// Completions on all nodes since the first of these crashes.
  uint32_t completions = 0;
};

/// A request that every node refuses.
struct Rejection {
  /// Service whose workers it crashed.
  std::string service;
  uint32_t crashes = 0;
  absl::Time expiry;
  /// It crashed the local worker, so this node repeats the report.
  bool is_own = false;
};

/// Evidence about requests that crash workers, gathered over all workers and
/// nodes of the service, and the requests that are rejected for it.
struct CrashLedger {
  CrashLedgerSettings settings;
  /// By crash id. Crashes that a rejected request explains are not kept.
  absl::btree_map<uint64_t, Crash> crashes;
  /// By fingerprint.
  absl::flat_hash_map<uint64_t, SuspectRecord> suspects;
  /// By fingerprint, for all services.
  absl::btree_map<uint64_t, Rejection> rejections;
  /// Crashes that were applied, with the time until which a repeated report is
  /// ignored.
  absl::flat_hash_map<uint64_t, absl::Time> applied;
  /// Fingerprints of requests that completed on this node, in the current and
  /// the previous period of `completed_ttl`.
  absl::flat_hash_set<uint64_t> completed;
  absl::flat_hash_set<uint64_t> completed_previous;
  absl::Time completed_rotated_at = absl::InfinitePast();
};

/// Records a crash of the local worker. Returns the report for the other nodes
/// of the service, without the suspects that completed here recently.
schema::WorkerCrash OnLocalCrash(CrashLedger& ledger,
                                 absl::Span<const uint64_t> suspects,
                                 uint64_t crash_id,
                                 absl::Time now);

/// Applies a report of another node.
void OnCrash(CrashLedger& ledger,
             const schema::WorkerCrash& report,
             absl::Time now);

/// Records a request that completed on this node. Returns true if it is a
/// suspect, so that the other nodes must know.
bool OnCompleted(CrashLedger& ledger, uint64_t fingerprint, absl::Time now);

/// Applies completions of a suspect on other nodes.
void OnSuspectCompletions(CrashLedger& ledger,
                          const schema::SuspectCompletions& report);

/// Applies a rejection of another node. Returns whether it is new.
bool OnRejection(CrashLedger& ledger,
                 const schema::RequestRejection& report,
                 absl::Time now);

/// Rejects the requests that are to blame for enough crashes, and drops the
/// crashes that they explain. Returns their fingerprints.
std::vector<uint64_t> RejectCulprits(CrashLedger& ledger, absl::Time now);

bool IsRejected(const CrashLedger& ledger,
                uint64_t fingerprint,
                absl::Time now);

/// Crashes that are not explained yet, for a node that may have missed them.
std::vector<schema::WorkerCrash> CrashReports(const CrashLedger& ledger,
                                              absl::Time now);

/// Rejections of requests to the service, for a node that may have missed them.
std::vector<schema::RequestRejection> RejectionReports(
    const CrashLedger& ledger,
    absl::string_view service,
    absl::Time now);

/// Report of one rejection, which must exist.
schema::RequestRejection RejectionReport(const CrashLedger& ledger,
                                         uint64_t fingerprint,
                                         absl::Time now);

/// Removes what has expired.
void Expire(CrashLedger& ledger, absl::Time now);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_CRASH_LEDGER_H_
