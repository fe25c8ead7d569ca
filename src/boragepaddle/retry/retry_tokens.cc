#include "boragepaddle/retry/retry_tokens.h"

#include <algorithm>

namespace boragepaddle::retry {

uint32_t Delegate(RetryTokens& budget) {
  const uint32_t delegated = budget.remaining - budget.remaining / 2;
  budget.remaining -= delegated;
  return delegated;
}

void Return(RetryTokens& budget, uint32_t delegated, uint32_t unspent) {
  // Bounded, so that a faulty peer cannot create tokens.
  budget.remaining += std::min(delegated, unspent);
}

bool Spend(RetryTokens& budget) {
  if (budget.remaining == 0) {
    return false;
  }
  --budget.remaining;
  return true;
}

}  // namespace boragepaddle::retry
