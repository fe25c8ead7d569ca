#ifndef BORAGEPADDLE_NODE_EGRESS_H_
#define BORAGEPADDLE_NODE_EGRESS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/retry/token_budget.h"
#include "boragepaddle/routing/route_table.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// A call that a caller or the local worker makes, with the state of its
/// attempts.
struct EgressCall {
  std::string request_id;
  std::string service;
  std::string operation;
  std::string body;
  std::string ticket;
  CallRule rule;
  /// Class of the root request.
  schema::CallClass call_class = schema::CallClass::kStandard;
  absl::Time deadline;
  retry::TokenBudget tokens;
  /// True if a local worker makes the call inside a running request.
  bool child = false;
  /// Calls above this one in the chain.
  uint32_t depth = 0;

  /// Upstreams that have been tried.
  std::vector<std::string> tried;
  std::string current_vm;
  uint32_t delegated = 0;
  /// An attempt has ended unknown, so the call can no longer end not run.
  bool maybe_run = false;
};

/// Send an attempt to the node of an upstream.
struct SendAttempt {
  schema::VmEntry upstream;
  schema::CallRequest request;
  /// The attempt counts as lost when no answer has come by then.
  absl::Time give_up_at;
};

/// Wait and then call OnWaitOver.
struct WaitUntil {
  absl::Time when;
};

/// The call has ended.
struct FinishCall {
  schema::Outcome outcome = schema::Outcome::kNotRun;
  schema::Reason reason = schema::Reason::kNone;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
  uint32_t tokens_left = 0;
};

using EgressAction = std::variant<SendAttempt, WaitUntil, FinishCall>;

/// Why an attempt got no answer.
enum class AttemptLoss : uint8_t {
  /// Nothing was sent.
  kNotSent,
  /// Sent, then the connection closed.
  kConnectionLost,
  /// Sent, no answer in time.
  kTimeout,
  /// Sent, then the caller closed its connection.
  kCallerGone,
};

/// Starts a call. `random` are random bits for the choice of the upstream.
EgressAction BeginCall(EgressCall& call,
                       routing::RouteTable& routes,
                       const routing::Locality& locality,
                       absl::Time now,
                       uint64_t random);

/// The attempt was answered.
EgressAction OnAttemptAnswer(EgressCall& call,
                             routing::RouteTable& routes,
                             const routing::Locality& locality,
                             schema::CallAnswer answer,
                             absl::Time now,
                             uint64_t random);

/// The attempt got no answer.
EgressAction OnAttemptLoss(EgressCall& call,
                           routing::RouteTable& routes,
                           const routing::Locality& locality,
                           AttemptLoss loss,
                           absl::Time now,
                           uint64_t random);

/// A WaitUntil is over.
EgressAction OnWaitOver(EgressCall& call,
                        routing::RouteTable& routes,
                        const routing::Locality& locality,
                        absl::Time now,
                        uint64_t random);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_H_
