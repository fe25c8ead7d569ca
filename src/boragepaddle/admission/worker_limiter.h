#ifndef BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_
#define BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::admission {

/// Limits of the limiter in front of the local worker.
struct WorkerLimiterSettings {
  /// Share of the worker's slots that is used; workers slow down when nearly
  /// full, and a new connection may hold a slot for a moment.
  double slot_share = 0.95;
  /// Share of the time to the objective that a call may wait. A refusal that
  /// comes later leaves its caller too little time to come back.
  double wait_share = 0.125;
  /// The same for nested calls, as a share of the time that is left: their
  /// refusal wastes the work that was done above them.
  double nested_wait_share = 0.4;
  /// Bounds on the wait of root requests.
  absl::Duration min_wait = absl::Milliseconds(15);
  absl::Duration max_wait = absl::Milliseconds(250);
  /// Weight of a new sample in the mean time of a call.
  double mean_weight = 0.05;
  /// Weight of a new sample in the mean that other nodes compare workers by.
  double long_term_mean_weight = 0.01;
  /// Mean time of a call before the first sample.
  absl::Duration initial_mean = absl::Milliseconds(50);
};

/// A call that asks for a slot of the worker.
struct SlotRequest {
  uint64_t id = 0;
  /// 0 is the most important.
  uint32_t priority = 0;
  /// Made for a request that already runs elsewhere.
  bool nested = false;
  /// Time to the latency objective.
  absl::Duration objective = absl::InfiniteDuration();
  absl::Time give_up_at = absl::InfiniteFuture();
};

/// Calls to start and to refuse, in this order.
struct SlotDecisions {
  std::vector<uint64_t> start;
  std::vector<uint64_t> refuse;
};

/// Queue and running calls of one worker.
struct WorkerLimiter {
  /// Nested calls first, then by priority, then by arrival.
  struct Key {
    uint32_t rank = 0;
    uint64_t sequence = 0;
    bool operator<(const Key& other) const {
      return this->rank != other.rank ? this->rank < other.rank
                                      : this->sequence < other.sequence;
    }
  };
  struct Waiting {
    SlotRequest call;
    absl::Time refuse_at;
  };

  WorkerLimiterSettings settings;
  uint32_t slots = 0;
  absl::btree_map<Key, Waiting> queue;
  absl::flat_hash_map<uint64_t, Key> queued_keys;
  /// Start of each running call.
  absl::flat_hash_map<uint64_t, absl::Time> running;
  absl::Duration mean_time;
  /// Steadier mean, zero before the first sample.
  absl::Duration long_term_mean_time;
  uint32_t sample_count = 0;
  uint64_t next_sequence = 0;
};

WorkerLimiter MakeWorkerLimiter(const WorkerLimiterSettings& settings);

/// Calls that may run at once.
uint32_t ConcurrencyLimit(const WorkerLimiter& limiter);

/// A call asks for a slot: it is started, queued or refused.
SlotDecisions OnSlotRequest(WorkerLimiter& limiter,
                            const SlotRequest& call,
                            absl::Time now);

/// A started call ended. `completed` tells whether its time is a sample of the
/// worker's speed.
SlotDecisions OnSlotReleased(WorkerLimiter& limiter,
                             uint64_t id,
                             bool completed,
                             absl::Time now);

/// Takes a call out of the queue; false if it is not queued.
bool CancelSlotRequest(WorkerLimiter& limiter, uint64_t id);

/// Refuses calls that waited too long and starts others. Called regularly and
/// after the slots changed.
SlotDecisions OnLimiterTick(WorkerLimiter& limiter, absl::Time now);

/// Empties the queue.
std::vector<uint64_t> RefuseQueued(WorkerLimiter& limiter);

/// Expected wait of a new call of the rank.
absl::Duration ExpectedWait(const WorkerLimiter& limiter,
                            uint32_t priority,
                            bool nested);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_
