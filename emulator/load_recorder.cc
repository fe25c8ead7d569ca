#include "emulator/load_recorder.h"

#include "absl/time/clock.h"

namespace emulator {
namespace {

// Length of the windows in which sheds are compared with admitted work.
constexpr int64_t kShedWindowMs = 100;

}  // namespace

LoadRecorder::LoadRecorder(const LoadPlan& plan, absl::Time start)
    : plan(plan), start(start) {}

void LoadRecorder::OnAttempt(const LoadRequest& request,
                             ClientOutcome outcome,
                             const std::string& reason,
                             absl::Duration latency) {
  const LoadOperation& operation = this->plan.operations[request.operation];
  const int64_t window = absl::ToUnixMillis(absl::Now()) / kShedWindowMs;
  absl::MutexLock lock(&this->mutex);
  ClassResult& result = this->FindOrAddClassResult(request);
  ++result.attempts;
  ++this->results
        .reasons[{operation.call_class, static_cast<size_t>(outcome), reason}];
  if (outcome == ClientOutcome::kNotRun) {
    result.refusal_latency.Add(latency);
    ++this->results
          .sheds[{window, operation.service, operation.call_class, reason}];
  } else if (outcome == ClientOutcome::kCompleted) {
    result.attempt_latency.Add(latency);
  }
}

void LoadRecorder::OnRequestFinished(const LoadRequest& request,
                                     ClientOutcome outcome,
                                     absl::Duration latency) {
  const LoadOperation& operation = this->plan.operations[request.operation];
  absl::Duration within_window;
  const auto window = static_cast<size_t>(absl::IDivDuration(
      request.arrival - this->start, this->plan.window, &within_window));
  absl::MutexLock lock(&this->mutex);
  ClassResult& result = this->FindOrAddClassResult(request);
  ++result.offered;
  ++result.outcomes[static_cast<size_t>(outcome)];
  std::vector<WindowResult>& windows =
      this->results.windows[operation.call_class];
  if (windows.size() <= window) {
    windows.resize(window + 1);
  }
  ++windows[window].offered;
  if (outcome == ClientOutcome::kCompleted) {
    result.latency.Add(latency);
    if (latency <= operation.deadline) {
      ++windows[window].in_time;
      ++result.in_time;
    }
  }
}

LoadResults LoadRecorder::Take() {
  absl::MutexLock lock(&this->mutex);
  return std::move(this->results);
}

ClassResult& LoadRecorder::FindOrAddClassResult(const LoadRequest& request) {
  const std::string& name = this->plan.operations[request.operation].call_class;
  return this->results.classes[{request.phase, name}];
}

}  // namespace emulator
