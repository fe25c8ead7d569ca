#ifndef EMULATOR_LOAD_RECORDER_H_
#define EMULATOR_LOAD_RECORDER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "emulator/latency_histogram.h"
#include "emulator/load_plan.h"
#include "emulator/load_request.h"

namespace emulator {

/// Results of one class in one phase.
struct ClassResult {
  uint64_t offered = 0;
  /// Completed within the deadline after the scheduled arrival, resends
  /// included: this is the goodput.
  uint64_t in_time = 0;
  std::array<uint64_t, kClientOutcomeCount> outcomes = {};
  /// Attempts on the wire, without those that only asked for a ticket.
  uint64_t attempts = 0;
  /// From the scheduled arrival to the whole answer.
  LatencyHistogram latency;
  /// From the send of an attempt to its whole answer.
  LatencyHistogram attempt_latency;
  /// Same, for attempts that ended as not run.
  LatencyHistogram refusal_latency;
};

/// Requests of one class that arrived in one window.
struct WindowResult {
  uint64_t offered = 0;
  /// Completed within the deadline after the scheduled arrival.
  uint64_t in_time = 0;
};

/// Everything that a run measured.
struct LoadResults {
  /// By (phase, class).
  std::map<std::pair<size_t, std::string>, ClassResult> classes;
  /// By class, then by window of arrival.
  std::map<std::string, std::vector<WindowResult>> windows;
  /// Attempts by (class, outcome, reason).
  std::map<std::tuple<std::string, size_t, std::string>, uint64_t> reasons;
  /// Attempts that ended as not run, by (100 ms window of Unix time, service,
  /// class, reason).
  std::map<std::tuple<int64_t, std::string, std::string, std::string>, uint64_t>
      sheds;
};

/// Collects the results of a run; thread-safe.
class LoadRecorder {
 public:
  LoadRecorder(const LoadPlan& plan, absl::Time start);

  void OnAttempt(const LoadRequest& request,
                 ClientOutcome outcome,
                 const std::string& reason,
                 absl::Duration latency);
  void OnRequestFinished(const LoadRequest& request,
                         ClientOutcome outcome,
                         absl::Duration latency);

  LoadResults Take();

 private:
  ClassResult& FindOrAddClassResult(const LoadRequest& request)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const LoadPlan& plan;
  const absl::Time start;
  absl::Mutex mutex;
  LoadResults results ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_LOAD_RECORDER_H_
