#ifndef BORAGEPADDLE_DAEMON_ATTEMPT_TABLE_H_
#define BORAGEPADDLE_DAEMON_ATTEMPT_TABLE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/base/sharded.h"
#include "boragepaddle/node/egress_action.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::daemon {

/// Result of waiting for an answer.
struct AttemptResult {
  /// Set if an answer arrived.
  absl::optional<schema::CallAnswer> answer;
  absl::optional<schema::TicketGrant> grant;
  /// Why there is no answer.
  node::AttemptLoss loss = node::AttemptLoss::kTimeout;
};

/// Attempts that wait for an answer. Answers are matched by attempt id and
/// connection; unmatched answers are dropped.
class AttemptTable {
 public:
  /// Registers an attempt that expects its answer on the connection; returns
  /// its id.
  uint64_t Register(uint64_t link_id);

  /// Waits for the answer and removes the attempt. `caller_connected` is polled
  /// while waiting.
  AttemptResult Wait(uint64_t attempt_id,
                     absl::Time give_up_at,
                     const std::function<bool()>& caller_connected);

  /// Removes an attempt that was not sent.
  void Forget(uint64_t attempt_id);

  /// False if no attempt waits for the answer.
  bool OnAnswer(uint64_t link_id, schema::CallAnswer answer);
  bool OnGrant(uint64_t link_id, schema::TicketGrant grant);
  void OnLinkClosed(uint64_t link_id);

  /// Number of waiting attempts.
  size_t size();

 private:
  struct Waiter {
    uint64_t link_id = 0;
    absl::Mutex mutex;
    bool done ABSL_GUARDED_BY(mutex) = false;
    AttemptResult result ABSL_GUARDED_BY(mutex);
  };
  using Table = absl::flat_hash_map<uint64_t, std::shared_ptr<Waiter>>;

  std::shared_ptr<Waiter> Find(uint64_t attempt_id);
  static bool Finish(const std::shared_ptr<Waiter>& waiter,
                     uint64_t link_id,
                     AttemptResult result);

  std::atomic<uint64_t> next_attempt{1};
  base::Sharded<Table> tables;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_ATTEMPT_TABLE_H_
