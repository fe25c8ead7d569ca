#ifndef BORAGEPADDLE_NODE_INGRESS_H_
#define BORAGEPADDLE_NODE_INGRESS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/node/ingress_state.h"
#include "boragepaddle/node/worker_answer.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Pass the call to a worker thread, which calls BeginRun first.
struct RunCall {
  CallKey key;
};

/// Ask the worker to cancel a running call.
struct CancelRunningCall {
  CallKey key;
};

/// Send the ticket grant on the connection.
struct GrantTicket {
  uint64_t link_id = 0;
  schema::TicketGrant grant;
};

/// Send the reports to the other VMs of the service. With a nonzero crash id,
/// each VM must confirm; OnReportResult receives the results.
struct ReportCrash {
  uint64_t crash = 0;
  std::vector<schema::CrashReport> reports;
};

/// Check whether the worker accepts connections, then call OnWorkerProbe.
struct ProbeWorker {};

using IngressAction = std::variant<RunCall,
                                   AnswerCall,
                                   CancelRunningCall,
                                   GrantTicket,
                                   ReportCrash,
                                   ProbeWorker>;
using IngressActions = std::vector<IngressAction>;

/// Handles a new connection. `sent_at_us` is from the peer's Hello.
void OnLinkOpen(IngressState& state,
                uint64_t link_id,
                int64_t sent_at_us,
                absl::Time now);

/// Handles a call that arrived on a connection.
IngressActions OnCallRequest(IngressState& state,
                             uint64_t link_id,
                             schema::CallRequest request,
                             const CallRule& rule,
                             absl::Time now);

/// Handles a ticket request.
IngressActions OnTicketRequest(IngressState& state,
                               uint64_t link_id,
                               const schema::TicketRequest& request,
                               absl::Time now);

/// Refuses a call because a service that its operation calls refuses the class.
IngressActions RefuseForCallees(const IngressState& state,
                                uint64_t link_id,
                                const schema::CallRequest& request,
                                absl::Time now);

/// Final check before a call is passed to the worker. Null if the call must no
/// longer run; the actions then contain its answer.
const IngressCall* BeginRun(IngressState& state,
                            CallKey key,
                            absl::Time now,
                            IngressActions& actions);

/// Handles the end of a call at the worker. `tokens_left` is the number of
/// unspent retry tokens.
IngressActions OnWorkerEnd(IngressState& state,
                           CallKey key,
                           WorkerAnswer answer,
                           uint32_t tokens_left,
                           absl::Time now);

/// Handles the result of a probe. `accepts` is true if the worker accepted a
/// connection.
IngressActions OnWorkerProbe(IngressState& state, bool accepts, absl::Time now);

/// Handles the confirmation of a crash report by a VM, or its failure.
IngressActions OnReportResult(IngressState& state,
                              uint64_t crash,
                              absl::string_view vm_id,
                              bool reached,
                              absl::Time now);

/// Handles a crash report from another node.
IngressActions OnCrashReport(IngressState& state,
                             const schema::CrashReport& report,
                             absl::Time now);

/// Handles the cancellation of an attempt by its sender.
IngressActions OnCancel(IngressState& state, CallKey key, absl::Time now);

/// Handles a closed connection: its senders no longer wait for answers.
IngressActions OnLinkClosed(IngressState& state,
                            uint64_t link_id,
                            absl::Time now);

/// Called about every 10 ms; drops expired work.
IngressActions OnTick(IngressState& state, absl::Time now);

/// Refuses new calls from now on, since the node is shutting down.
void StartLeaving(IngressState& state);

/// True when no call is queued or running.
bool IsDrained(const IngressState& state);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_INGRESS_H_
