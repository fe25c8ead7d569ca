#ifndef BORAGEPADDLE_ADMISSION_ADMISSION_H_
#define BORAGEPADDLE_ADMISSION_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::admission {

/// Order in which the queued calls of one class and depth are started.
enum class QueueOrder : uint8_t {
  /// Earliest deadline first.
  kDeadline,
  /// Latest arrival first.
  kNewest,
  /// Earliest deadline first; latest arrival first while the class has had a
  /// queue for longer than the burst_time time.
  kAdaptive,
};

/// Limits of the queues.
struct AdmissionSettings {
  uint32_t max_queue = 64;
  /// A queue that exists for longer is overload, not a burst_time.
  absl::Duration burst_time = absl::Milliseconds(100);
  /// Less important classes stay refused for this long after a shed call. Not
  /// shorter than routing::kThrottleDuration: an entry node may refuse the
  /// class by itself for that long, and then this node does not see those
  /// calls.
  absl::Duration rejection_hold_time = absl::Milliseconds(300);
  /// Time between the opening of a class and of the next less important one:
  /// longer than entry nodes take to learn of the first from other answers.
  absl::Duration reopen_interval = absl::Milliseconds(100);
  QueueOrder order = QueueOrder::kAdaptive;
  /// Running idempotent calls may be cancelled for more important ones.
  bool worker_accepts_cancel = false;
};

/// A call that asks to be run.
struct AdmissionCall {
  /// Chosen by the caller of these functions; grows with each arrival.
  uint64_t id = 0;
  schema::CallClass call_class = schema::CallClass::kStandard;
  /// 0 for a root request.
  uint32_t depth = 0;
  absl::Time arrived;
  absl::Time deadline;
  /// CurrentMinimum recent service time of the operation; zero if not known.
  absl::Duration min_service;
  absl::Duration queue_target = absl::Milliseconds(20);
  /// Idempotent, so that it may be cancelled while it runs.
  bool cancellable = false;
};

/// Give the call to the worker.
struct StartCall {
  uint64_t id = 0;
};

/// The call left without having been started.
struct ShedCall {
  uint64_t id = 0;
  schema::Reason reason = schema::Reason::kOverloaded;
};

/// Cancel a running call for a more important one. It still ends by
/// OnFinished.
struct CancelCall {
  uint64_t id = 0;
};

using AdmissionAction = std::variant<StartCall, ShedCall, CancelCall>;
using AdmissionActions = std::vector<AdmissionAction>;

/// A call that was started and has not ended.
struct RunningCall {
  schema::CallClass call_class = schema::CallClass::kStandard;
  bool cancellable = false;
  bool cancelled = false;
};

/// Queues and running calls of the local worker.
struct AdmissionState {
  AdmissionSettings settings;
  std::array<std::vector<AdmissionCall>, schema::kCallClassCount> queues;
  absl::btree_map<uint64_t, RunningCall> running;
  uint32_t cancels_pending = 0;
  /// When a call of the class was last shed because of overload.
  std::array<absl::Time, schema::kCallClassCount> last_shed_at;
  /// When a nested call of the class was last shed because of overload.
  std::array<absl::Time, schema::kCallClassCount> last_nested_shed_at;
  /// When the queues of the class and of all more important ones were empty.
  std::array<absl::Time, schema::kCallClassCount> last_empty_at;
  /// Time that the last started call waited.
  absl::Duration last_wait;
};

AdmissionState MakeAdmission(const AdmissionSettings& settings);

/// A call arrives. `limit` is the number of calls that may run now; 0 if the
/// worker is given none.
AdmissionActions OnArrival(AdmissionState& state,
                           const AdmissionCall& call,
                           uint32_t limit,
                           absl::Time now);

/// A started call ended.
AdmissionActions OnFinished(AdmissionState& state,
                            uint64_t id,
                            uint32_t limit,
                            absl::Time now);

/// Takes a call out of the queue; false if it is not queued.
bool OnCancel(AdmissionState& state, uint64_t id);

/// Regular call, about every 10 ms. Also after the limit changed.
AdmissionActions OnTick(AdmissionState& state, uint32_t limit, absl::Time now);

/// Sheds all queued calls.
AdmissionActions ShedQueued(AdmissionState& state, schema::Reason reason);

/// Number of classes that would be admitted now.
uint32_t AdmissionLevel(const AdmissionState& state,
                        uint32_t limit,
                        absl::Time now);

size_t QueuedCalls(const AdmissionState& state);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_ADMISSION_H_
