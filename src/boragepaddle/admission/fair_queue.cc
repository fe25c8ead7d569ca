#include "boragepaddle/admission/fair_queue.h"

#include <algorithm>

namespace boragepaddle::admission {

namespace {

/// Number of accounts from which on those without a claim are removed. More
/// than the accounts of a usual configuration (83 to 87), so that a sweep is
/// rare.
constexpr size_t kSweepSize = 256;

void Sweep(FairQueue& queue) {
  for (auto entry = queue.accounts.begin(); entry != queue.accounts.end();) {
    const auto current = entry++;
    if (current->second.queued == 0 && current->second.finish <= queue.now) {
      queue.accounts.erase(current);
    }
  }
}

}  // namespace

uint64_t VirtualStart(const FairQueue& queue, absl::string_view account) {
  const auto found = queue.accounts.find(account);
  return found == queue.accounts.end()
             ? queue.now
             : std::max(queue.now, found->second.finish);
}

void OnQueued(FairQueue& queue,
              absl::string_view account,
              uint64_t virtual_start) {
  if (queue.accounts.size() >= kSweepSize) {
    Sweep(queue);
  }
  FairQueue::Account& entry = queue.accounts[std::string(account)];
  entry.finish = virtual_start + 1;
  ++entry.queued;
  ++queue.queued;
}

void OnDequeued(FairQueue& queue,
                absl::string_view account,
                uint64_t virtual_start,
                bool starts) {
  FairQueue::Account& entry = queue.accounts.find(account)->second;
  --entry.queued;
  --queue.queued;
  if (starts) {
    queue.now = std::max(queue.now, virtual_start);
  } else if (entry.finish == virtual_start + 1) {
    // The account's newest call did not run, so its turn is given back.
    entry.finish = virtual_start;
  }
}

size_t MostQueued(const FairQueue& queue) {
  size_t most = 0;
  for (const auto& [account, entry] : queue.accounts) {
    most = std::max(most, entry.queued);
  }
  return most;
}

}  // namespace boragepaddle::admission
