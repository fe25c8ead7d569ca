#ifndef BORAGEPADDLE_NODE_EGRESS_CALL_H_
#define BORAGEPADDLE_NODE_EGRESS_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/retry/retry_tokens.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// An outgoing call of a caller or of the local worker, with the state of its
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
  retry::RetryTokens tokens;
  /// True if the local worker makes the call while it handles a request.
  bool child = false;
  /// Number of calls above this one in the call chain.
  uint32_t depth = 0;

  /// VM ids of upstreams that were already tried.
  std::vector<std::string> tried;
  std::string current_vm;
  absl::Time sent_at;
  uint32_t delegated = 0;
  /// Number of retries after attempts with an unknown outcome.
  uint32_t retries = 0;
  /// An attempt ended with an unknown outcome, or the ticket was used before.
  /// The call may have run, so it must not end as not run.
  bool maybe_run = false;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_CALL_H_
