#ifndef BORAGEPADDLE_RETRY_RETRY_TOKENS_H_
#define BORAGEPADDLE_RETRY_RETRY_TOKENS_H_

#include <cstdint>

namespace boragepaddle::retry {

/// Retry tokens held by one running request. Tokens move between the requests
/// of one call tree but are never created, so that the retries of the whole
/// tree stay within the number of tokens at the root.
struct RetryTokens {
  uint32_t remaining = 0;
};

/// Takes half of the remaining tokens, rounded up, for a child call.
uint32_t Delegate(RetryTokens& budget);

/// Returns the unspent tokens of a child call, at most as many as it was given.
void Return(RetryTokens& budget, uint32_t delegated, uint32_t unspent);

/// Spends one token on a retry; false if none remains.
bool Spend(RetryTokens& budget);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_RETRY_TOKENS_H_
