#ifndef BORAGEPADDLE_NODE_EGRESS_ACTION_H_
#define BORAGEPADDLE_NODE_EGRESS_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Send an attempt to an upstream's node.
struct SendAttempt {
  schema::VmEntry upstream;
  schema::CallRequest request;
  /// The attempt is lost if no answer arrives by then.
  absl::Time give_up_at;
};

/// Request a ticket from an upstream's node.
struct AskTicket {
  schema::VmEntry upstream;
  schema::TicketRequest request;
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
  /// Set if the reason is ticket_needed.
  std::string ticket;
  /// The service or a downstream one refused the call because of overload.
  bool refused = false;
};

using EgressAction =
    std::variant<SendAttempt, AskTicket, WaitUntil, FinishCall>;

/// Why an attempt was not answered.
enum class AttemptLoss : uint8_t {
  /// Nothing was sent.
  kNotSent,
  /// Sent, then the connection closed.
  kConnectionLost,
  /// Sent; no answer arrived in time.
  kTimeout,
  /// Sent, then the caller closed its connection.
  kCallerGone,
};

/// Returns the name of the value.
const char* ToString(AttemptLoss value);

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_ACTION_H_
