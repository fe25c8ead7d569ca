#ifndef BORAGEPADDLE_RECOVERY_OUTBOUND_ATTEMPT_H_
#define BORAGEPADDLE_RECOVERY_OUTBOUND_ATTEMPT_H_

#include <cstdint>

// Pattern: restart_and_reset. The process that received a call ends, and
// connections to its successor are reset.

namespace boragepaddle::recovery {

/// An attempt that was sent to another node, until its outcome is known.
struct OutboundAttempt {
  /// Process that the attempt was sent to, by its incarnation; set when the
  /// connection closed. Only this process can state that it never received the
  /// attempt.
  uint64_t receiver = 0;
  /// The connection closed, and the node is asked on a new one for the state of
  /// the attempt.
  bool is_resuming = false;
  /// The last piece of the body was handed to the connection. A call whose body
  /// is not complete at its receiver is not passed on.
  bool is_body_sent = true;
};

/// What is known of a closed connection.
struct ClosedConnection {
  bool was_open = false;
  /// No process listened at the address.
  bool was_refused = false;
  /// Incarnation of the process at the other end; 0 if it did not identify
  /// itself.
  uint64_t peer_incarnation = 0;
};

enum class AttemptDecision {
  /// Ask `receiver` for the state of the attempt, now or after a delay.
  kResume,
  kResumeLater,
  /// The attempt reached no process, or only a part of its body did.
  kNotSent,
  /// The attempt may have run, and its receiver cannot be asked any more.
  kUnknown,
};

/// The connection that carried the attempt, or the latest question about it,
/// closed.
AttemptDecision OnConnectionClosed(OutboundAttempt& attempt,
                                   const ClosedConnection& connection);

}  // namespace boragepaddle::recovery

#endif  // BORAGEPADDLE_RECOVERY_OUTBOUND_ATTEMPT_H_
