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

/// Names a call at the node of the upstream: connection and attempt.
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

/// Fixed properties of the node of an upstream.
struct IngressSettings {
  std::string vm_id;
  std::string service;
  uint64_t incarnation = 0;
  /// Requests that the worker runs at once.
  uint32_t slots = 64;
  uint32_t max_queue = 64;
  /// Requests that crash workers are refused; off only in comparisons.
  bool quarantine = true;
  bool worker_accepts_cancel = false;
  execution::TicketSecret ticket_secret{};
  /// Longest time that an answer after a crash waits for the other nodes to
  /// confirm the report.
  absl::Duration report_hold = absl::Milliseconds(300);
  absl::Duration probe_interval = absl::Milliseconds(50);
};

/// A call that was accepted and has not ended.
struct IngressCall {
  schema::CallRequest request;
  CallRule rule;
  absl::Time arrived;
  absl::Time deadline;
  /// Id of the call in admission.
  uint64_t id = 0;
  /// Sequence of its ticket; 0 if it has none.
  uint64_t ticket_sequence = 0;
  /// Given to a worker thread.
  bool running = false;
  /// Handed over to the worker at this time; infinite past if not.
  absl::Time begun = absl::InfinitePast();
  bool suspect = false;
  bool sender_gone = false;
  /// Cancelled for a more important call.
  bool cancelled = false;
};

/// Send the answer on the call's connection.
struct AnswerCall {
  CallKey key;
  schema::CallAnswer answer;
};

/// What is known of the local worker.
enum class WorkerState : uint8_t {
  kUp,
  /// A call failed; a probe is under way.
  kProbing,
  kDown,
};

/// A crash of the worker. Requests that ran at the time belong to it.
struct CrashEvent {
  absl::btree_set<CallKey> in_flight;
  /// VMs that have not yet confirmed the report.
  absl::btree_set<std::string> unconfirmed;
  absl::Time release_at;
  std::vector<AnswerCall> held;
};

/// Decisions of the node of an upstream about arriving calls.
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
  /// Repeats that wait for the first use of their ticket, by its sequence.
  absl::btree_map<CallKey, uint64_t> repeats;
  /// Suspects that wait until the one before them has ended.
  std::deque<CallKey> suspects;
  bool suspect_admitted = false;
  /// Service times by a hash of the operation.
  absl::btree_map<uint64_t, base::WindowedMinimum> service_times;
  WorkerState worker = WorkerState::kUp;
  bool probe_pending = false;
  absl::Time probed_at = absl::InfinitePast();
  absl::btree_map<uint64_t, CrashEvent> crashes;
  uint64_t next_crash = 1;
  /// Other VMs of the service.
  std::vector<std::string> peers;
  absl::Time expired_at = absl::InfinitePast();
  bool leaving = false;
};

IngressState MakeIngress(const IngressSettings& settings);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_STATE_H_
