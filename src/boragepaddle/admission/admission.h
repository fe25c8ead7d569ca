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

/// Order in which queued calls of the same class and depth are started.
enum class QueueOrder : uint8_t {
  /// Earliest deadline first.
  kDeadline,
  /// Latest arrival first.
  kNewest,
  /// Earliest deadline first; latest arrival first once the class has had a
  /// queue for longer than the burst time.
  kAdaptive,
};

/// Settings of the admission queues.
struct AdmissionSettings {
  uint32_t max_queue = 64;
  /// A queue that persists for longer indicates overload rather than a burst.
  absl::Duration burst_time = absl::Milliseconds(100);
  /// Less important classes are rejected for this long after a call was shed.
  /// Not shorter than routing::kThrottleDuration: entry nodes may throttle the
  /// class for that long, and then this node does not see those calls.
  absl::Duration rejection_hold_time = absl::Milliseconds(300);
  /// Delay between reopening a class and the next less important one. Longer
  /// than entry nodes take to learn from other answers that the first is open.
  absl::Duration reopen_interval = absl::Milliseconds(100);
  QueueOrder order = QueueOrder::kAdaptive;
  /// The worker can cancel running calls. Idempotent calls may then be
  /// cancelled in favour of more important ones.
  bool worker_accepts_cancel = false;
};

/// A call that requests admission.
struct AdmissionCall {
  /// Assigned by the caller; increases with each arrival.
  uint64_t id = 0;
  schema::CallClass call_class = schema::CallClass::kStandard;
  /// 0 for a root request.
  uint32_t depth = 0;
  absl::Time arrived;
  absl::Time deadline;
  /// Smallest recent service time of the operation; zero if unknown.
  absl::Duration min_service;
  absl::Duration queue_target = absl::Milliseconds(20);
  /// Idempotent, so it may be cancelled while running.
  bool cancellable = false;
};

/// Start the call on the worker.
struct StartCall {
  uint64_t id = 0;
};

/// The call was rejected or dropped without being started.
struct ShedCall {
  uint64_t id = 0;
  schema::Reason reason = schema::Reason::kOverloaded;
};

/// Cancel a running call in favour of a more important one. OnFinished is still
/// called for it.
struct CancelCall {
  uint64_t id = 0;
};

using AdmissionAction = std::variant<StartCall, ShedCall, CancelCall>;
using AdmissionActions = std::vector<AdmissionAction>;

/// A started call that has not finished.
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
  /// Last time at which the queues of the class and of all more important
  /// classes were empty.
  std::array<absl::Time, schema::kCallClassCount> last_empty_at;
  /// Queueing delay of the most recently started call.
  absl::Duration last_wait;
};

AdmissionState MakeAdmission(const AdmissionSettings& settings);

/// Admits, queues or sheds a new call. `limit` is the current concurrency
/// limit; 0 if the worker accepts no calls.
AdmissionActions OnArrival(AdmissionState& state,
                           const AdmissionCall& call,
                           uint32_t limit,
                           absl::Time now);

/// Frees the slot of a started call and starts queued calls.
AdmissionActions OnFinished(AdmissionState& state,
                            uint64_t id,
                            uint32_t limit,
                            absl::Time now);

/// Removes a queued call; false if it is not queued.
bool OnCancel(AdmissionState& state, uint64_t id);

/// Called about every 10 ms and after the limit changed. Starts queued calls
/// and sheds those that waited too long.
AdmissionActions OnTick(AdmissionState& state, uint32_t limit, absl::Time now);

/// Sheds all queued calls.
AdmissionActions ShedQueued(AdmissionState& state, schema::Reason reason);

/// Number of classes, from the most important one, that are admitted now.
uint32_t AdmissionLevel(const AdmissionState& state,
                        uint32_t limit,
                        absl::Time now);

size_t QueuedCalls(const AdmissionState& state);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_ADMISSION_H_
