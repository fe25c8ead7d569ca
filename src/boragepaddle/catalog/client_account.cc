#include "boragepaddle/catalog/client_account.h"

#include <algorithm>

namespace boragepaddle::catalog {

namespace {

/// Number of route priorities that are told apart. With more, the least
/// important ones are equal.
constexpr uint32_t kRoutePriorities = 16;

/// Least important account priority. Keeps combined priorities below the ranks
/// of the worker limiter.
constexpr uint32_t kMaxAccountPriority = 50;

}  // namespace

uint32_t CombinedPriority(absl::optional<uint32_t> account_priority,
                          uint32_t route_priority) {
  const uint32_t account =
      std::min(account_priority.value_or(route_priority), kMaxAccountPriority);
  return account * kRoutePriorities +
         std::min(route_priority, kRoutePriorities - 1);
}

uint32_t RoutePriorityOf(uint32_t combined_priority) {
  return combined_priority % kRoutePriorities;
}

}  // namespace boragepaddle::catalog
