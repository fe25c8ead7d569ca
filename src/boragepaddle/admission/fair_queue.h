#ifndef BORAGEPADDLE_ADMISSION_FAIR_QUEUE_H_
#define BORAGEPADDLE_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace boragepaddle::admission {

/// Start-time fair queueing over accounts, equally weighted, in one rank of a
/// queue. Virtual times count calls: each call takes one unit of its account's
/// turn. With a single account the order is that of arrival.
struct FairQueue {
  struct Account {
    /// Virtual end of the account's last call.
    uint64_t finish = 0;
    size_t queued = 0;
  };

  /// Accounts with queued calls or with an end after `now`; the empty name
  /// stands for calls without an account.
  absl::flat_hash_map<std::string, Account> accounts;
  /// Virtual start of the last call that left the queue to run.
  uint64_t now = 0;
  /// Queued calls of all accounts.
  size_t queued = 0;
};

/// Virtual start of a new call of the account.
uint64_t VirtualStart(const FairQueue& queue, absl::string_view account);

/// A call was queued with its virtual start.
void OnQueued(FairQueue& queue,
              absl::string_view account,
              uint64_t virtual_start);

/// A queued call starts to run, or leaves the queue without having run.
void OnDequeued(FairQueue& queue,
                absl::string_view account,
                uint64_t virtual_start,
                bool starts);

/// Number of queued calls of the account with the most.
size_t MostQueued(const FairQueue& queue);

}  // namespace boragepaddle::admission

#endif  // BORAGEPADDLE_ADMISSION_FAIR_QUEUE_H_
