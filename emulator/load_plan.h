#ifndef EMULATOR_LOAD_PLAN_H_
#define EMULATOR_LOAD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"

namespace emulator {

/// Load that clients generate for one operation.
struct LoadOperation {
  std::string service;
  std::string operation;
  /// Class under which results are reported; it is not sent to nodes.
  std::string call_class = "standard";
  /// Path of the request; "/call/<service>/<operation>" if empty.
  std::string path;
  /// Requests per second at factor 1.
  double rate = 0.0;
  /// Whether the rate factor of a phase applies to this operation.
  bool surges = true;
  /// Deadline sent with each attempt, and time limit for goodput.
  absl::Duration deadline = absl::Seconds(1);
  /// Maximum number of attempts per request, including the first.
  size_t attempts = 1;
  absl::Duration resend_pause;
  /// Also resends after an unknown, failed or late outcome. After an unknown
  /// outcome, a request with a ticket is resent in any case.
  bool resend_unknown = false;
  /// The operation needs a ticket (at-most-once execution).
  bool ticket = false;
  /// Opens a new connection for every attempt.
  bool new_connection = false;
  /// Text added to every request body, such as the crash marker of a worker.
  std::string marker;
  /// Size of the padding in each request body, in bytes.
  size_t body_bytes = 0;
  /// Entry addresses of this operation; those of the plan if empty.
  std::vector<std::string> entries;
};

/// Part of a run with a constant rate.
struct LoadPhase {
  std::string name;
  absl::Duration duration;
  double factor = 1.0;
};

/// Load that the program generates in one run.
struct LoadPlan {
  /// Prefix of all keys, so that runs on one mesh do not share keys.
  std::string run = "load";
  std::vector<std::string> entries;
  std::vector<LoadPhase> phases;
  std::vector<LoadOperation> operations;
  /// Maximum number of requests in flight; further ones are queued in the
  /// client.
  size_t max_in_flight = 2000;
  /// Exponential instead of constant interarrival times.
  bool poisson = false;
  uint64_t seed = 1;
  /// Window length of the goodput time series.
  absl::Duration window = absl::Milliseconds(200);
  /// Overload phase, from whose end the recovery time is measured. If empty, no
  /// recovery time is reported.
  std::string trigger_phase;
};

enum class LoadPlanError : uint8_t { kSyntax, kWrongType, kNothingToSend };

absl::string_view ToString(LoadPlanError error);

/// Parses a JSON plan, as described in docs/emulator.md.
boragepaddle::base::Result<LoadPlan, LoadPlanError> ParseLoadPlan(
    absl::string_view text);

}  // namespace emulator

#endif  // EMULATOR_LOAD_PLAN_H_
