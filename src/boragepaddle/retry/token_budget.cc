#include "boragepaddle/retry/token_budget.h"

#include <algorithm>

namespace boragepaddle::retry {

uint32_t Delegate(TokenBudget& budget) {
  const uint32_t delegated = budget.left - budget.left / 2;
  budget.left -= delegated;
  return delegated;
}

void Return(TokenBudget& budget, uint32_t delegated, uint32_t unspent) {
  // A faulty peer must not create tokens.
  budget.left += std::min(delegated, unspent);
}

bool Spend(TokenBudget& budget) {
  if (budget.left == 0) {
    return false;
  }
  --budget.left;
  return true;
}

}  // namespace boragepaddle::retry
