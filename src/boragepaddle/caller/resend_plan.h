#ifndef BORAGEPADDLE_CALLER_RESEND_PLAN_H_
#define BORAGEPADDLE_CALLER_RESEND_PLAN_H_

#include <cstdint>
#include <string>

#include "boragepaddle/caller/call_result.h"
#include "boragepaddle/caller/send_result.h"

namespace boragepaddle::caller {

/// State of one call over its sends.
struct ResendPlan {
  std::string ticket;
  /// Sends with or without a ticket that have ended, without requests for
  /// tickets.
  uint32_t sends = 0;
  uint32_t ticket_requests = 0;
  /// A send has ended unknown, so the call can no longer end not run.
  bool maybe_run = false;
  CallResult last;
};

/// What to do after a send.
enum class NextStep : uint8_t {
  /// Return `last`.
  kFinish,
  /// Send at once to the same node.
  kSendNow,
  /// Send to the next node after a pause.
  kSendElsewhere,
};

/// Decides after a send; `attempts` is the most sends of one call.
NextStep OnSendResult(ResendPlan& plan, SendResult sent, uint32_t attempts);

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_RESEND_PLAN_H_
