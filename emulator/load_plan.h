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

/// How clients send one operation.
struct LoadOperation {
  std::string service;
  std::string operation;
  /// Class under which results are reported; nodes do not see it.
  std::string call_class = "standard";
  /// Path of the request; "/call/<service>/<operation>" if empty.
  std::string path;
  /// Requests per second at factor 1.
  double rate = 0.0;
  /// The factor of a phase applies to this operation.
  bool surges = true;
  /// Time that the client waits for each attempt.
  absl::Duration deadline = absl::Seconds(1);
  /// Attempts of one request, with the first one.
  size_t attempts = 1;
  absl::Duration resend_pause;
  /// Also resends after an unknown outcome. An operation with a ticket may
  /// always do so.
  bool resend_unknown = false;
  /// The operation needs a ticket (at-most-once execution).
  bool ticket = false;
  /// Every attempt opens a connection of its own.
  bool new_connection = false;
  /// Added to every body, such as the crash marker of a worker.
  std::string marker;
  /// Further bytes of each body.
  size_t body_bytes = 0;
  /// Entry addresses of this operation; those of the plan if empty.
  std::vector<std::string> entries;
};

/// A part of a run with a constant rate.
struct LoadPhase {
  std::string name;
  absl::Duration duration;
  double factor = 1.0;
};

/// What the load program sends.
struct LoadPlan {
  /// Prefix of all keys, so that runs on one mesh do not share keys.
  std::string run = "load";
  std::vector<std::string> entries;
  std::vector<LoadPhase> phases;
  std::vector<LoadOperation> operations;
  /// Requests in flight at once; further ones wait in the client.
  size_t max_in_flight = 2000;
  /// Exponential instead of even distances between arrivals.
  bool poisson = false;
  uint64_t seed = 1;
  /// Window of the goodput series.
  absl::Duration window = absl::Milliseconds(200);
  /// Phase whose end is the end of the trigger; empty for no recovery time.
  std::string trigger_phase;
};

enum class LoadPlanError : uint8_t { kSyntax, kWrongType, kNothingToSend };

absl::string_view ToString(LoadPlanError error);

/// Reads a plan in JSON, as described in docs/emulator.md.
boragepaddle::base::Result<LoadPlan, LoadPlanError> ParseLoadPlan(
    absl::string_view text);

}  // namespace emulator

#endif  // EMULATOR_LOAD_PLAN_H_
