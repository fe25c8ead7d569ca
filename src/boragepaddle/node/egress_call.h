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
  retry::RetryTokens tokens;
  /// True if a local worker makes the call inside a running request.
  bool child = false;
  /// Calls above this one in the chain.
  uint32_t depth = 0;

  /// Upstreams that have been tried.
  std::vector<std::string> tried;
  std::string current_vm;
  absl::Time sent_at;
  uint32_t delegated = 0;
  /// Attempts made after an attempt that ended unknown.
  uint32_t retries = 0;
  /// An attempt has ended unknown, or an earlier send of the ticket may have
  /// run, so the call can no longer end not run.
  bool maybe_run = false;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_CALL_H_
