#ifndef EMULATOR_LOAD_REQUEST_H_
#define EMULATOR_LOAD_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace emulator {

/// How a request, or one attempt of it, ended for the client.
enum class ClientOutcome : uint8_t {
  /// A whole answer to the client's own request, in time.
  kCompleted,
  /// A whole answer after the deadline.
  kLate,
  /// A whole answer that reports a failure of the worker.
  kFailed,
  /// The node said that it was not run.
  kNotRun,
  /// The node said so, or no whole answer came.
  kUnknown,
  /// An answer to another request, or one that is not whole.
  kWrong,
  /// The deadline passed before the client could send.
  kNotSent,
};
constexpr size_t kClientOutcomeCount = 7;

/// One request of a client with the state of its attempts.
struct LoadRequest {
  size_t operation = 0;
  size_t phase = 0;
  std::string key;
  absl::Time arrival;
  size_t attempts = 0;
  std::string ticket;
  /// Outcome of the last attempt after which the request may have run;
  /// kNotRun if there is none.
  ClientOutcome last_effective_outcome = ClientOutcome::kNotRun;
  size_t next_entry = 0;
};

}  // namespace emulator

#endif  // EMULATOR_LOAD_REQUEST_H_
