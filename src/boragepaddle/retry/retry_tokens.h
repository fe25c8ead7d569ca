#ifndef BORAGEPADDLE_RETRY_RETRY_TOKENS_H_
#define BORAGEPADDLE_RETRY_RETRY_TOKENS_H_

#include <cstdint>

namespace boragepaddle::retry {

/// Retry tokens that one running request holds. Tokens move between requests
/// of one tree but are never created, so that the retries of the whole tree
/// stay within the root's number.
struct RetryTokens {
  uint32_t remaining = 0;
};

/// Takes half of what is left, rounded up, for a child call.
uint32_t Delegate(RetryTokens& budget);

/// Gives back the unspent tokens of a child call, at most what it was given.
void Return(RetryTokens& budget, uint32_t delegated, uint32_t unspent);

/// Takes one token for a retry; false if there is none.
bool Spend(RetryTokens& budget);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_RETRY_TOKENS_H_
