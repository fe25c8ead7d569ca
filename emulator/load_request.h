#ifndef EMULATOR_LOAD_REQUEST_H_
#define EMULATOR_LOAD_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace emulator {

/// Outcome of a request, or of one attempt, as seen by the client.
enum class ClientOutcome : uint8_t {
  /// Complete response that matches the request, in time.
  kCompleted,
  /// Complete response after the deadline.
  kLate,
  /// Complete response that reports a failure of the worker.
  kFailed,
  /// The node reported that the request was not executed.
  kNotRun,
  /// The node reported an unknown outcome, or no complete response arrived.
  kUnknown,
  /// Response that belongs to another request or is incomplete.
  kWrong,
  /// The deadline passed before the client could send the request.
  kNotSent,
};
constexpr size_t kClientOutcomeCount = 7;

/// Client request with the state of its attempts.
struct LoadRequest {
  size_t operation = 0;
  size_t phase = 0;
  std::string key;
  absl::Time arrival;
  size_t attempts = 0;
  std::string ticket;
  /// Outcome of the last attempt that may have executed the request; kNotRun if
  /// there is none.
  ClientOutcome last_effective_outcome = ClientOutcome::kNotRun;
  size_t next_entry = 0;
};

}  // namespace emulator

#endif  // EMULATOR_LOAD_REQUEST_H_
