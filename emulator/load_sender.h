#ifndef EMULATOR_LOAD_SENDER_H_
#define EMULATOR_LOAD_SENDER_H_

#include <string>

#include "absl/time/time.h"
#include "emulator/client_pool.h"
#include "emulator/load_plan.h"
#include "emulator/load_request.h"

namespace emulator {

/// Result of one attempt.
struct AttemptResult {
  ClientOutcome outcome = ClientOutcome::kUnknown;
  /// The node issued a ticket and expects a resend with it.
  bool ticket_granted = false;
  std::string ticket;
  std::string reason;
  absl::Duration latency;
};

/// Sends one attempt of a request and waits for its result.
AttemptResult SendAttempt(const LoadOperation& operation,
                          const LoadRequest& request,
                          ClientPool* clients);

}  // namespace emulator

#endif  // EMULATOR_LOAD_SENDER_H_
