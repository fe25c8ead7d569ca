#ifndef EMULATOR_WORKER_BEHAVIOUR_H_
#define EMULATOR_WORKER_BEHAVIOUR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

#include "boragepaddle/base/result.h"

namespace emulator {

/// Behaviour of one operation of a fake worker.
struct OperationBehaviour {
  /// Mean service time, without child calls, in milliseconds.
  double service_ms = 1.0;
  /// The service time is uniform in service_ms +- spread_ms.
  double spread_ms = 0.0;
  /// Child calls as "service.operation".
  std::vector<std::string> calls;
  /// Child calls are made at once instead of in order.
  bool parallel = false;
  /// Size of the padding in an answer, in bytes.
  size_t answer_bytes = 64;
};

/// Behaviour of a fake worker, read from a JSON file and changed by /control.
struct WorkerBehaviour {
  /// Requests that run at once; others wait in the worker.
  size_t slots = 64;
  size_t connections = 960;
  /// Requests that may wait for a slot; more are answered with 503.
  size_t max_waiting = 1'000'000;
  /// Requests whose deadline passes before they get a slot are not run.
  bool honours_deadline = false;
  /// Service times are longer by this factor for cold_start_s after the start.
  double cold_start_factor = 1.0;
  double cold_start_s = 0.0;
  std::map<std::string, OperationBehaviour> operations;

  /// Multiplies service times.
  double slow_factor = 1.0;
  /// Share of requests that are run and then answered with 500.
  double fail_percent = 0.0;
  /// A request whose body contains this text ends the process; empty for none.
  std::string crash_marker;
  /// Answer of /health.
  bool healthy = true;
  /// Load that /load reports instead of the true one; negative for the truth.
  double reported_load = -1.0;
};

enum class BehaviourError : uint8_t { kSyntax, kWrongType };

/// Text for operators.
absl::string_view ToString(BehaviourError error);

/// Applies the keys present in a JSON text. Operations are merged by name.
boragepaddle::base::Result<WorkerBehaviour, BehaviourError> ApplyBehaviourJson(
    WorkerBehaviour behaviour,
    absl::string_view text);

}  // namespace emulator

#endif  // EMULATOR_WORKER_BEHAVIOUR_H_
