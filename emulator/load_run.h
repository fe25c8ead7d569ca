#ifndef EMULATOR_LOAD_RUN_H_
#define EMULATOR_LOAD_RUN_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "emulator/client_pool.h"
#include "emulator/elastic_thread_pool.h"
#include "emulator/load_plan.h"
#include "emulator/load_recorder.h"
#include "emulator/load_request.h"
#include "emulator/load_schedule.h"
#include "emulator/load_sender.h"

namespace emulator {

/// Result of one request, for the comparison with the workers' logs.
struct RequestResult {
  std::string key;
  size_t operation = 0;
  size_t phase = 0;
  /// Completed within the deadline after the scheduled arrival.
  bool in_time = false;
  ClientOutcome outcome = ClientOutcome::kUnknown;
  size_t attempts = 0;
};

/// Results of a run.
struct LoadOutput {
  LoadResults results;
  std::vector<RequestResult> request_results;
  uint64_t connections_opened = 0;
  /// Longest time by which a request was sent after its arrival.
  absl::Duration max_send_delay;
  absl::Time start;
};

/// One run of a plan: sends every request at its time, whatever happened to
/// the earlier ones (open loop).
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan);

  /// Runs all phases and waits for the end of every request.
  LoadOutput Run();

 private:
  struct Resend {
    absl::Time time;
    LoadRequest request;
  };

  LoadRequest NewRequest(const Arrival& arrival);
  void Send(LoadRequest request);
  void OnAttempt(LoadRequest request, const AttemptResult& attempt);
  bool MayResend(const LoadRequest& request, ClientOutcome outcome) const;
  void Finish(const LoadRequest& request, ClientOutcome outcome);
  void SendDueResends();
  absl::Time NextResendTime();
  void Enqueue(LoadRequest request);
  bool IsIdle() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

  const LoadPlan& plan;
  const absl::Time start;
  LoadSchedule schedule;
  LoadRecorder recorder;
  ClientPool clients;
  ElasticThreadPool pool;
  uint64_t next_key = 0;
  absl::Mutex mutex;
  std::vector<Resend> resends ABSL_GUARDED_BY(mutex);
  std::vector<RequestResult> request_results ABSL_GUARDED_BY(mutex);
  size_t unfinished_requests ABSL_GUARDED_BY(mutex) = 0;
  absl::Duration max_send_delay ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_LOAD_RUN_H_
