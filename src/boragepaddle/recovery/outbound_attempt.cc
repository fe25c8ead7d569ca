#include "boragepaddle/recovery/outbound_attempt.h"

namespace boragepaddle::recovery {

AttemptDecision OnConnectionClosed(OutboundAttempt& attempt,
                                   const ClosedConnection& connection) {
  if (!attempt.is_resuming) {
    if (!connection.was_open || !attempt.is_body_sent) {
      return AttemptDecision::kNotSent;
    }
    if (connection.peer_incarnation == 0) {
      return AttemptDecision::kUnknown;
    }
    attempt.receiver = connection.peer_incarnation;
    attempt.is_resuming = true;
    return AttemptDecision::kResume;
  }
  // The receiver has ended if no process or another one is at its address. A
  // successor knows nothing of the attempt, so it must not be asked.
  if (connection.was_refused ||
      (connection.peer_incarnation != 0 &&
       connection.peer_incarnation != attempt.receiver)) {
    return AttemptDecision::kUnknown;
  }
  return connection.was_open && connection.peer_incarnation != 0
             ? AttemptDecision::kResume
             : AttemptDecision::kResumeLater;
}

}  // namespace boragepaddle::recovery
