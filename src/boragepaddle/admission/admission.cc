#include "boragepaddle/admission/admission.h"

#include <algorithm>
#include <cassert>

#include "absl/types/optional.h"

namespace boragepaddle::admission {

namespace {

using schema::CallClass;
using schema::kCallClassCount;
using schema::Reason;
using Queue = std::vector<AdmissionCall>;

constexpr size_t Index(CallClass call_class) {
  return static_cast<size_t>(call_class);
}

void Shed(AdmissionState& state,
          size_t class_index,
          Queue::iterator call,
          Reason reason,
          AdmissionActions& actions) {
  actions.push_back(ShedCall{call->id, reason});
  state.queues[class_index].erase(call);
}

/// Sheds a call because of overload and records the time for its class.
void ShedForOverload(AdmissionState& state,
                     size_t class_index,
                     Queue::iterator call,
                     Reason reason,
                     absl::Time now,
                     AdmissionActions& actions) {
  state.last_shed_at[class_index] = now;
  if (call->depth > 0) {
    state.last_nested_shed_at[class_index] = now;
  }
  Shed(state, class_index, call, reason, actions);
}

/// True if the class is closed because class `shed` was shed. Each less
/// important class reopens one interval later: if all reopened at once, an
/// entry node that still refuses the more important class would send the less
/// important one.
bool IsClosed(const AdmissionState& state,
              size_t class_index,
              size_t shed,
              absl::Time now) {
  const AdmissionSettings& settings = state.settings;
  const auto steps = static_cast<int64_t>(class_index - shed);
  return now - state.last_shed_at[shed] <
         settings.rejection_hold_time + steps * settings.reopen_interval;
}

/// True if a more important class was shed recently.
bool IsBlockedByHigherClass(const AdmissionState& state,
                            size_t class_index,
                            absl::Time now) {
  for (size_t shed = 0; shed < class_index; ++shed) {
    if (IsClosed(state, class_index, shed, now)) {
      return true;
    }
  }
  return false;
}

/// Index of the most important closed class; kCallClassCount if none is.
size_t FirstClosedClass(const AdmissionState& state, absl::Time now) {
  for (size_t index = 0; index < kCallClassCount; ++index) {
    if (IsBlockedByHigherClass(state, index, now) ||
        IsClosed(state, index, index, now)) {
      return index;
    }
  }
  return kCallClassCount;
}

/// Least important class with queued calls.
absl::optional<size_t> LeastImportantQueuedClass(const AdmissionState& state) {
  for (size_t index = kCallClassCount; index > 0; --index) {
    if (!state.queues[index - 1].empty()) {
      return index - 1;
    }
  }
  return absl::nullopt;
}

/// At least one service time: with long calls and few slots, a load within
/// capacity waits about that long for a free slot.
absl::Duration QueueTarget(const AdmissionCall& call) {
  return std::max(call.queue_target, call.min_service);
}

/// Calls of a burst may wait for the burst time. Once the queue has persisted
/// for longer, the queue target applies to bulk calls and doubles with each
/// more important class. With one target for all classes, a member load of 75%
/// of the capacity had 5% of its calls shed, since its queue is seldom empty.
absl::Duration AllowedWait(const AdmissionState& state,
                           const AdmissionCall& call,
                           absl::Time now) {
  const size_t index = Index(call.call_class);
  const int factor = 1 << (kCallClassCount - 1 - index);
  const absl::Duration target = QueueTarget(call) * factor;
  const bool persistent =
      now - state.last_empty_at[index] > state.settings.burst_time;
  return persistent ? target : std::max(target, state.settings.burst_time);
}

void RecordEmptyQueues(AdmissionState& state, absl::Time now) {
  for (size_t index = 0; index < kCallClassCount; ++index) {
    if (!state.queues[index].empty()) {
      return;
    }
    state.last_empty_at[index] = now;
  }
}

void ShedExpired(AdmissionState& state,
                 absl::Time now,
                 AdmissionActions& actions) {
  for (size_t index = 0; index < kCallClassCount; ++index) {
    Queue& queue = state.queues[index];
    for (size_t at = queue.size(); at > 0; --at) {
      const auto call = queue.begin() + static_cast<ptrdiff_t>(at - 1);
      const absl::Duration left = call->deadline - now;
      if (left <= absl::ZeroDuration() || left < call->min_service) {
        Shed(state, index, call, Reason::kDeadline, actions);
      }
    }
  }
}

/// Sheds all less important queued calls, so that no call is shed while less
/// important work waits to be admitted.
void ShedBelow(AdmissionState& state,
               size_t class_index,
               absl::Time now,
               AdmissionActions& actions) {
  for (size_t index = kCallClassCount - 1; index > class_index; --index) {
    Queue& queue = state.queues[index];
    while (!queue.empty()) {
      ShedForOverload(state, index, queue.end() - 1, Reason::kDisplaced, now,
                      actions);
    }
  }
}

/// Sheds the queued root requests of the class before one of its nested calls
/// is shed. Returns the number of calls shed before the position.
size_t ShedRoots(AdmissionState& state,
                 size_t class_index,
                 size_t position,
                 absl::Time now,
                 AdmissionActions& actions) {
  Queue& queue = state.queues[class_index];
  size_t before = 0;
  for (size_t at = queue.size(); at > 0; --at) {
    const auto call = queue.begin() + static_cast<ptrdiff_t>(at - 1);
    if (call->depth == 0) {
      before += at - 1 < position ? 1 : 0;
      ShedForOverload(state, class_index, call, Reason::kDisplaced, now,
                      actions);
    }
  }
  return before;
}

/// Cancels the least important running call below the class. Among equals that
/// is the latest started, which has done the least work. False if there is
/// none.
bool CancelRunning(AdmissionState& state,
                   size_t class_index,
                   AdmissionActions& actions) {
  if (!state.settings.worker_accepts_cancel) {
    return false;
  }
  auto victim = state.running.end();
  for (auto call = state.running.begin(); call != state.running.end(); ++call) {
    const RunningCall& running = call->second;
    if (!running.cancellable || running.cancelled ||
        Index(running.call_class) <= class_index) {
      continue;
    }
    if (victim == state.running.end() ||
        running.call_class >= victim->second.call_class) {
      victim = call;
    }
  }
  if (victim == state.running.end()) {
    return false;
  }
  victim->second.cancelled = true;
  ++state.cancels_pending;
  actions.push_back(CancelCall{victim->first});
  return true;
}

/// Cancels running calls for queued ones that have waited for the queue target.
/// Cancelling earlier would waste work that is about to finish.
void CancelForWaiting(AdmissionState& state,
                      absl::Time now,
                      AdmissionActions& actions) {
  if (!state.settings.worker_accepts_cancel) {
    return;
  }
  uint32_t waiting = 0;
  for (size_t index = 0; index + 1 < kCallClassCount; ++index) {
    for (const AdmissionCall& call : state.queues[index]) {
      if (now - call.arrived < QueueTarget(call)) {
        continue;
      }
      ++waiting;
      if (waiting > state.cancels_pending &&
          !CancelRunning(state, index, actions)) {
        break;
      }
    }
  }
}

void ShedOverdue(AdmissionState& state,
                 absl::Time now,
                 AdmissionActions& actions) {
  // Spares as many calls as cancellations are pending: slots will be free soon.
  uint32_t spared = state.cancels_pending;
  for (size_t index = 0; index < kCallClassCount; ++index) {
    Queue& queue = state.queues[index];
    for (size_t at = queue.size(); at > 0; --at) {
      const auto call = queue.begin() + static_cast<ptrdiff_t>(at - 1);
      if (now - call->arrived <= AllowedWait(state, *call, now)) {
        continue;
      }
      if (spared > 0) {
        --spared;
        continue;
      }
      ShedBelow(state, index, now, actions);
      if (call->depth > 0) {
        at -= ShedRoots(state, index, at - 1, now, actions);
      }
      ShedForOverload(state, index,
                      queue.begin() + static_cast<ptrdiff_t>(at - 1),
                      Reason::kOverloaded, now, actions);
    }
  }
}

bool StartsBefore(const AdmissionCall& a,
                  const AdmissionCall& b,
                  bool newest_first) {
  // Upstream work was already done for a nested call and is lost if it fails.
  if (a.depth != b.depth) {
    return a.depth > b.depth;
  }
  if (newest_first) {
    return a.id > b.id;
  }
  return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
}

bool NewestFirst(const AdmissionState& state,
                 size_t class_index,
                 absl::Time now) {
  switch (state.settings.order) {
    case QueueOrder::kDeadline:
      return false;
    case QueueOrder::kNewest:
      return true;
    case QueueOrder::kAdaptive:
      break;
  }
  return now - state.last_empty_at[class_index] > state.settings.burst_time;
}

/// Most important class with queued calls.
absl::optional<size_t> MostImportantQueuedClass(const AdmissionState& state) {
  for (size_t index = 0; index < kCallClassCount; ++index) {
    if (!state.queues[index].empty()) {
      return index;
    }
  }
  return absl::nullopt;
}

void StartQueued(AdmissionState& state,
                 uint32_t limit,
                 absl::Time now,
                 AdmissionActions& actions) {
  if (state.running.size() < limit) {
    ShedExpired(state, now, actions);
  }
  while (state.running.size() < limit) {
    const auto index = MostImportantQueuedClass(state);
    if (!index) {
      return;
    }
    Queue& queue = state.queues[*index];
    const bool newest_first = NewestFirst(state, *index, now);
    const auto next = std::min_element(
        queue.begin(), queue.end(),
        [newest_first](const AdmissionCall& a, const AdmissionCall& b) {
          return StartsBefore(a, b, newest_first);
        });
    state.last_wait = now - next->arrived;
    state.running[next->id] = {next->call_class, next->cancellable, false};
    actions.push_back(StartCall{next->id});
    queue.erase(next);
  }
}

/// Sheds the least important call of a full queue. Within a class, that is the
/// root request with the earliest deadline, unless the arrival is itself a root
/// request: then the arrival is refused at once.
void ShedLeastImportant(AdmissionState& state,
                        const AdmissionCall& arrival,
                        absl::Time now,
                        AdmissionActions& actions) {
  const size_t index = *LeastImportantQueuedClass(state);
  Queue& queue = state.queues[index];
  const auto victim = std::min_element(
      queue.begin(), queue.end(),
      [&arrival](const AdmissionCall& a, const AdmissionCall& b) {
        if (a.depth != b.depth) {
          return a.depth < b.depth;
        }
        if ((a.id == arrival.id) != (b.id == arrival.id)) {
          return a.id == arrival.id;
        }
        return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
      });
  if (CancelRunning(state, index, actions)) {
    return;
  }
  const bool refused = victim->id == arrival.id;
  ShedForOverload(state, index, victim,
                  refused ? Reason::kOverloaded : Reason::kDisplaced, now,
                  actions);
}

void Advance(AdmissionState& state,
             uint32_t limit,
             absl::Time now,
             AdmissionActions& actions) {
  ShedExpired(state, now, actions);
  RecordEmptyQueues(state, now);
  StartQueued(state, limit, now, actions);
  RecordEmptyQueues(state, now);
  CancelForWaiting(state, now, actions);
}

}  // namespace

AdmissionState MakeAdmission(const AdmissionSettings& settings) {
  AdmissionState state;
  state.settings = settings;
  state.last_shed_at.fill(absl::InfinitePast());
  state.last_nested_shed_at.fill(absl::InfinitePast());
  state.last_empty_at.fill(absl::InfinitePast());
  return state;
}

AdmissionActions OnArrival(AdmissionState& state,
                           const AdmissionCall& call,
                           uint32_t limit,
                           absl::Time now) {
  const absl::Duration left = call.deadline - now;
  if (left <= absl::ZeroDuration() || left < call.min_service) {
    return {ShedCall{call.id, Reason::kDeadline}};
  }
  const size_t index = Index(call.call_class);
  const bool nested_was_shed = now < state.last_nested_shed_at[index] +
                                         state.settings.rejection_hold_time;
  if (IsBlockedByHigherClass(state, index, now) ||
      (call.depth == 0 && nested_was_shed)) {
    state.last_shed_at[index] = now;
    return {ShedCall{call.id, Reason::kOverloaded}};
  }
  RecordEmptyQueues(state, now);
  state.queues[index].push_back(call);
  AdmissionActions actions;
  StartQueued(state, limit, now, actions);
  const size_t max_queued = state.settings.max_queue + state.cancels_pending;
  if (QueuedCalls(state) > max_queued) {
    ShedLeastImportant(state, call, now, actions);
  }
  return actions;
}

AdmissionActions OnFinished(AdmissionState& state,
                            uint64_t id,
                            uint32_t limit,
                            absl::Time now) {
  const auto found = state.running.find(id);
  assert(found != state.running.end());
  if (found->second.cancelled) {
    --state.cancels_pending;
  }
  state.running.erase(found);
  AdmissionActions actions;
  Advance(state, limit, now, actions);
  return actions;
}

bool OnCancel(AdmissionState& state, uint64_t id) {
  for (Queue& queue : state.queues) {
    const auto found =
        std::find_if(queue.begin(), queue.end(),
                     [id](const AdmissionCall& call) { return call.id == id; });
    if (found != queue.end()) {
      queue.erase(found);
      return true;
    }
  }
  return false;
}

AdmissionActions OnTick(AdmissionState& state, uint32_t limit, absl::Time now) {
  AdmissionActions actions;
  Advance(state, limit, now, actions);
  ShedOverdue(state, now, actions);
  return actions;
}

AdmissionActions ShedQueued(AdmissionState& state, Reason reason) {
  AdmissionActions actions;
  for (size_t index = kCallClassCount; index > 0; --index) {
    for (const AdmissionCall& call : state.queues[index - 1]) {
      actions.push_back(ShedCall{call.id, reason});
    }
    state.queues[index - 1].clear();
  }
  return actions;
}

uint32_t AdmissionLevel(const AdmissionState& state,
                        uint32_t limit,
                        absl::Time now) {
  if (limit == 0) {
    return 0;
  }
  const bool full = state.running.size() >= limit &&
                    QueuedCalls(state) >= state.settings.max_queue;
  size_t level = FirstClosedClass(state, now);
  if (full) {
    level = std::min(
        level, LeastImportantQueuedClass(state).value_or(kCallClassCount));
  }
  return static_cast<uint32_t>(level);
}

size_t QueuedCalls(const AdmissionState& state) {
  size_t total = 0;
  for (const Queue& queue : state.queues) {
    total += queue.size();
  }
  return total;
}

}  // namespace boragepaddle::admission
