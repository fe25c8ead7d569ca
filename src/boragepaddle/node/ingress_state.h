#ifndef BORAGEPADDLE_NODE_INGRESS_STATE_H_
#define BORAGEPADDLE_NODE_INGRESS_STATE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "boragepaddle/admission/admission.h"
#include "boragepaddle/base/windowed_minimum.h"
#include "boragepaddle/execution/at_most_once_table.h"
#include "boragepaddle/limits/concurrency_limit.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/node/ingress_transit.h"
#include "boragepaddle/quarantine/quarantine.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Identifies a call at the upstream's node by connection and attempt.
struct CallKey {
  uint64_t link_id = 0;
  uint64_t attempt_id = 0;

  friend bool operator==(const CallKey& a, const CallKey& b) {
    return a.link_id == b.link_id && a.attempt_id == b.attempt_id;
  }
  friend bool operator<(const CallKey& a, const CallKey& b) {
    return std::tie(a.link_id, a.attempt_id) <
           std::tie(b.link_id, b.attempt_id);
  }
};

/// Settings of the upstream's node.
struct IngressSettings {
  std::string vm_id;
  std::string service;
  uint64_t incarnation = 0;
  /// Maximum number of concurrent requests of the worker.
  uint32_t slots = 64;
  uint32_t max_queue = 64;
  /// Refuse requests that crash workers; off only in comparisons.
  bool quarantine = true;
  bool worker_accepts_cancel = false;
  execution::TicketSecret ticket_secret{};
  /// Maximum time for which an answer after a crash is held until the other
  /// nodes confirm the report.
  absl::Duration report_hold = absl::Milliseconds(300);
  absl::Duration probe_interval = absl::Milliseconds(50);
};

/// A call that was accepted and has not ended.
struct IngressCall {
  schema::CallRequest request;
  CallRule rule;
  absl::Time arrived;
  absl::Time deadline;
  /// Id of the call in admission control.
  uint64_t id = 0;
  /// Sequence number of its ticket; 0 if it has none.
  uint64_t ticket_sequence = 0;
  /// Passed to a worker thread.
  bool running = false;
  /// Time at which the call was passed to the worker; infinite past if it was
  /// not.
  absl::Time begun = absl::InfinitePast();
  bool suspect = false;
  bool sender_gone = false;
  /// Cancelled in favour of a more important call.
  bool cancelled = false;
};

/// Send the answer on the call's connection.
struct AnswerCall {
  CallKey key;
  schema::CallAnswer answer;
};

/// Known state of the local worker.
enum class WorkerState : uint8_t {
  kUp,
  /// A call failed; a probe is in progress.
  kProbing,
  kDown,
};

/// A crash of the worker, with the requests that ran at that time.
struct CrashEvent {
  absl::btree_set<CallKey> in_flight;
  /// VMs that have not confirmed the report yet.
  absl::btree_set<std::string> unconfirmed;
  absl::Time release_at;
  std::vector<AnswerCall> held;
};

/// State of the upstream's node for arriving calls.
struct IngressState {
  IngressSettings settings;
  admission::AdmissionState admission;
  limits::ConcurrencyLimiter limit;
  execution::AtMostOnceTable table;
  quarantine::QuarantineState quarantine;
  PauseDetector pause;
  absl::btree_map<uint64_t, TransitClock> links;
  absl::btree_map<CallKey, IngressCall> calls;
  absl::btree_map<uint64_t, CallKey> keys;
  uint64_t next_id = 1;
  /// Duplicate calls that wait for the first use of their ticket, with its
  /// sequence number.
  absl::btree_map<CallKey, uint64_t> duplicates;
  /// Suspects waiting for the previous suspect to end; they run one at a time.
  std::deque<CallKey> suspects;
  bool suspect_admitted = false;
  /// Recent service times by a hash of the operation.
  absl::btree_map<uint64_t, base::WindowedMinimum> service_times;
  WorkerState worker = WorkerState::kUp;
  bool probe_pending = false;
  absl::Time probed_at = absl::InfinitePast();
  absl::btree_map<uint64_t, CrashEvent> crashes;
  uint64_t next_crash = 1;
  /// Ids of the other VMs of the service.
  std::vector<std::string> peers;
  absl::Time expired_at = absl::InfinitePast();
  bool leaving = false;
};

IngressState MakeIngress(const IngressSettings& settings);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_STATE_H_
