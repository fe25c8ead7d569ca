#ifndef BORAGEPADDLE_NODE_INGRESS_H_
#define BORAGEPADDLE_NODE_INGRESS_H_

#include <cstdint>
#include <deque>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/node/worker_answer.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Names a call at the node of the upstream: connection and attempt.
struct CallKey {
  uint64_t link_id = 0;
  uint64_t attempt_id = 0;

  friend bool operator==(const CallKey& a, const CallKey& b) {
    return a.link_id == b.link_id && a.attempt_id == b.attempt_id;
  }
  template <typename H>
  friend H AbslHashValue(H state, const CallKey& key) {
    return H::combine(std::move(state), key.link_id, key.attempt_id);
  }
};

/// Give the call to a worker thread, which first calls BeginRun.
struct RunCall {
  CallKey key;
};

/// Send the answer on the call's connection.
struct AnswerCall {
  CallKey key;
  schema::CallAnswer answer;
};

/// Ask the worker to cancel a running call.
struct CancelRunningCall {
  CallKey key;
};

/// Send the grant on the connection.
struct GrantTicket {
  uint64_t link_id = 0;
  schema::TicketGrant grant;
};

/// Tell the nodes of the own service about a crash.
struct ReportCrash {
  schema::CrashReport report;
};

using IngressAction = std::
    variant<RunCall, AnswerCall, CancelRunningCall, GrantTicket, ReportCrash>;
using IngressActions = std::vector<IngressAction>;

/// Fixed properties of the node of an upstream.
struct IngressSettings {
  uint64_t incarnation = 0;
  /// Requests that the worker runs at once.
  uint32_t slots = 64;
  uint32_t max_queue = 64;
};

/// A call that was accepted and has not ended.
struct IngressCall {
  schema::CallRequest request;
  CallRule rule;
  absl::Time deadline;
  bool running = false;
  bool sender_gone = false;
};

/// Decisions of the node of an upstream about arriving calls.
struct IngressState {
  IngressSettings settings;
  absl::flat_hash_map<CallKey, IngressCall> calls;
  std::deque<CallKey> queue;
  uint32_t running = 0;
  bool leaving = false;
};

/// A call arrived on a connection.
IngressActions OnCallRequest(IngressState& state,
                             uint64_t link_id,
                             schema::CallRequest request,
                             const CallRule& rule,
                             absl::Time now);

/// Last check before the worker is given the call. Null if the call must not
/// run any more; the actions then hold its answer.
const IngressCall* BeginRun(IngressState& state,
                            CallKey key,
                            absl::Time now,
                            IngressActions& actions);

/// The worker's call ended. `tokens_left` are the unspent retry tokens.
IngressActions OnWorkerEnd(IngressState& state,
                           CallKey key,
                           WorkerAnswer answer,
                           uint32_t tokens_left,
                           absl::Time now);

/// The sender no longer waits for the attempt.
IngressActions OnCancel(IngressState& state, CallKey key, absl::Time now);

/// The connection closed: its senders no longer wait.
IngressActions OnLinkClosed(IngressState& state,
                            uint64_t link_id,
                            absl::Time now);

/// Regular call, about every 10 ms: drops expired work.
IngressActions OnTick(IngressState& state, absl::Time now);

/// Refuses new calls from now on.
void StartLeaving(IngressState& state);

/// True when no call is queued or running.
bool IsDrained(const IngressState& state);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_H_
