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

/// Give the call to a worker thread, which first calls BeginRun.
struct RunCall {
  CallKey key;
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

/// Send the reports to the other VMs of the service. With a crash id, each VM
/// is to confirm, and OnReportResult tells the result.
struct ReportCrash {
  uint64_t crash = 0;
  std::vector<schema::CrashReport> reports;
};

/// Find out whether the worker accepts connections, then call OnWorkerProbe.
struct ProbeWorker {};

using IngressAction = std::variant<RunCall,
                                   AnswerCall,
                                   CancelRunningCall,
                                   GrantTicket,
                                   ReportCrash,
                                   ProbeWorker>;
using IngressActions = std::vector<IngressAction>;

/// A connection was opened. `sent_at_us` is from the peer's Hello.
void OnLinkOpen(IngressState& state,
                uint64_t link_id,
                int64_t sent_at_us,
                absl::Time now);

/// A call arrived on a connection.
IngressActions OnCallRequest(IngressState& state,
                             uint64_t link_id,
                             schema::CallRequest request,
                             const CallRule& rule,
                             absl::Time now);

/// A ticket is asked for.
IngressActions OnTicketRequest(IngressState& state,
                               uint64_t link_id,
                               const schema::TicketRequest& request,
                               absl::Time now);

/// Refuses a call because a service that its operation calls refuses the class.
IngressActions RefuseForCallees(const IngressState& state,
                                uint64_t link_id,
                                const schema::CallRequest& request,
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

/// A probe ended. `accepts` is true if the worker took a connection.
IngressActions OnWorkerProbe(IngressState& state, bool accepts, absl::Time now);

/// A VM confirmed the reports of a crash, or cannot be reached.
IngressActions OnReportResult(IngressState& state,
                              uint64_t crash,
                              absl::string_view vm_id,
                              bool reached,
                              absl::Time now);

/// Another node reported a crash.
IngressActions OnCrashReport(IngressState& state,
                             const schema::CrashReport& report,
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
