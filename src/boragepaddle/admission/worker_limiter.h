#ifndef BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_
#define BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/admission/fair_queue.h"
#include "boragepaddle/admission/machine_speed.h"
#include "boragepaddle/admission/worker_load.h"
#include "boragepaddle/base/windowed_minimum.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::admission {

/// Settings of the concurrency limiter in front of the local worker.
struct WorkerLimiterSettings {
  /// Share of the worker's slots in use at most: workers slow down when nearly
  /// full, and a new connection may briefly hold a slot.
  double slot_share = 0.95;
  /// Share of the time until the latency objective that a call may be queued. A
  /// later refusal leaves its caller too little time to retry.
  double wait_share = 0.125;
  /// Share of the remaining time that a nested call may be queued. Larger,
  /// since refusing it wastes the work done by its callers.
  double nested_wait_share = 0.4;
  /// Bounds on the queueing time of root requests.
  absl::Duration min_wait = absl::Milliseconds(15);
  absl::Duration max_wait = absl::Milliseconds(250);
  /// Weight of a new sample in mean_time.
  double mean_weight = 0.05;
  /// Weight of a new sample in long_term_mean_time, by which other nodes
  /// compare workers.
  double long_term_mean_weight = 0.01;
  /// With a rate limit: calls that may start at once, as time in which the rate
  /// allows them.
  absl::Duration rate_burst = absl::Milliseconds(250);
  /// mean_time before the first sample.
  absl::Duration initial_mean = absl::Milliseconds(50);
  /// Period of the shortest work of recent calls, by which calls with too
  /// little time left are recognised. The mean would refuse all calls of a
  /// short route beside a long one.
  absl::Duration shortest_work_period = absl::Seconds(5);
  /// Age at which the worker's figures about calls from elsewhere no longer
  /// count.
  absl::Duration figures_ttl = absl::Seconds(1);
};

/// A call that requests a slot of the worker.
struct SlotRequest {
  uint64_t id = 0;
  /// 0 is the most important.
  uint32_t priority = 0;
  /// Made on behalf of a request that is running elsewhere.
  bool nested = false;
  /// Time left until the latency objective.
  absl::Duration objective = absl::InfiniteDuration();
  absl::Time give_up_at = absl::InfiniteFuture();
  /// Client account of the root request; empty if none.
  std::string account;
};

/// Calls to start and to refuse; starts come first.
struct SlotDecisions {
  std::vector<uint64_t> start;
  std::vector<uint64_t> refuse;
  /// Refused since their senders give up before they could end.
  std::vector<uint64_t> too_late;
  /// The first call in `refuse` was dropped for a call of an account with fewer
  /// queued calls.
  bool refused_by_share = false;
};

/// Concurrency and rate limiter with a priority queue for one worker.
struct WorkerLimiter {
  /// Orders nested calls first, then by priority, then by start-time fair
  /// queueing over accounts, then by arrival.
  struct Key {
    uint32_t rank = 0;
    uint64_t virtual_start = 0;
    uint64_t sequence = 0;
    bool operator<(const Key& other) const {
      if (this->rank != other.rank) {
        return this->rank < other.rank;
      }
      return this->virtual_start != other.virtual_start
                 ? this->virtual_start < other.virtual_start
                 : this->sequence < other.sequence;
    }
  };
  struct Waiting {
    SlotRequest call;
    absl::Time refuse_at;
  };
  struct Running {
    absl::Time started_at;
    /// WorkUntil at the start.
    absl::Duration work_at_start;
  };

  WorkerLimiterSettings settings;
  uint32_t slots = 0;
  /// Calls per second that the worker accepts; infinite if it names no limit.
  double max_rate = std::numeric_limits<double>::infinity();
  /// Calls that the rate limit allows now.
  double rate_tokens = 0;
  absl::Time rate_refilled_at = absl::InfinitePast();
  absl::btree_map<Key, Waiting> queue;
  absl::flat_hash_map<uint64_t, Key> queued_keys;
  /// Accounts with calls in the queue, by rank; ranks without calls are
  /// removed.
  absl::btree_map<uint32_t, FairQueue> ranks;
  /// Calls dropped for calls of accounts with fewer queued calls.
  uint64_t account_evictions = 0;
  /// Running calls by id.
  absl::flat_hash_map<uint64_t, Running> running;
  absl::Duration mean_time;
  MachineSpeed speed;
  /// Mean work of a call as time at the usual speed, and the expected time of a
  /// call that starts now. Both are used only while the speed is known.
  absl::Duration mean_work;
  /// Shortest work of a recent call, as time at the usual speed.
  base::WindowedMinimum shortest_work;
  absl::Duration expected_time;
  /// Slots that calls which did not come through this node occupy.
  uint32_t slots_elsewhere = 0;
  absl::Time figures_at = absl::InfinitePast();
  /// Slowly changing mean; zero before the first sample.
  absl::Duration long_term_mean_time;
  uint32_t sample_count = 0;
  uint64_t next_sequence = 0;
};

WorkerLimiter MakeWorkerLimiter(const WorkerLimiterSettings& settings);

/// Number of calls that may run at once.
uint32_t ConcurrencyLimit(const WorkerLimiter& limiter);

/// Sets the rate limit, in calls per second; infinity removes it.
void SetMaxRate(WorkerLimiter& limiter, double max_rate, absl::Time now);

/// Share of the rate limit in use, 0 to 1; 0 without a limit.
double RateUsed(const WorkerLimiter& limiter, absl::Time now);

/// Records the load figures of a response of the worker. Without a speed in
/// them, nothing changes.
void OnWorkerLoad(WorkerLimiter& limiter,
                  const WorkerLoadFigures& figures,
                  absl::Time now);

/// Forgets what the worker's figures said: another worker process runs now,
/// which started `age` ago.
void ForgetWorkerLoad(WorkerLimiter& limiter,
                      absl::Duration age,
                      absl::Time now);

/// Expected time for which a call that starts now holds a slot.
absl::Duration ExpectedCallTime(const WorkerLimiter& limiter);

/// Starts, queues or refuses a call.
SlotDecisions OnSlotRequest(WorkerLimiter& limiter,
                            const SlotRequest& call,
                            absl::Time now);

/// Frees the slot of a call. If `completed`, its duration is added to the mean
/// times.
SlotDecisions OnSlotReleased(WorkerLimiter& limiter,
                             uint64_t id,
                             bool completed,
                             absl::Time now);

/// Removes a queued call; false if it is not queued.
bool CancelSlotRequest(WorkerLimiter& limiter, uint64_t id);

/// Refuses calls that waited too long and starts others. Called regularly and
/// after the number of slots changed.
SlotDecisions OnLimiterTick(WorkerLimiter& limiter, absl::Time now);

/// Clears the queue and returns the ids of its calls.
std::vector<uint64_t> RefuseQueued(WorkerLimiter& limiter);

/// Expected queueing time of a new call with this priority.
absl::Duration ExpectedWait(const WorkerLimiter& limiter,
                            uint32_t priority,
                            bool nested);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_WORKER_LIMITER_H_
