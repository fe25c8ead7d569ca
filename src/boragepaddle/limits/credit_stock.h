#ifndef BORAGEPADDLE_LIMITS_CREDIT_STOCK_H_
#define BORAGEPADDLE_LIMITS_CREDIT_STOCK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/limits/credit_bucket.h"

namespace boragepaddle::limits {

/// Unused credit with one time of expiry.
struct CreditLot {
  absl::Time expires;
  uint32_t credit = 0;
};

/// A request that waits for credit.
struct CreditWaiter {
  uint64_t id = 0;
  absl::Time since;
};

/// A message to the owner or the deputy that has not been answered.
struct CreditInquiry {
  bool active = false;
  uint64_t id = 0;
  std::string host;
  /// As in schema::CreditRequest.
  uint32_t owner_state = 0;
  /// Messages sent in sequence for the same waiting requests.
  uint32_t hops = 0;
  absl::Time sent_at;
};

/// Credit of an account at an entry node.
struct CreditStock {
  /// Ordered by expiry.
  std::vector<CreditLot> lots;
  /// The owner denied credit until then.
  absl::Time denied_until = absl::InfinitePast();
  std::deque<CreditWaiter> waiters;
  CreditInquiry inquiry;
  /// The last inquiry that was given up; its answer may still arrive.
  CreditInquiry late;
  /// Requests of about the last second, with exponential decay.
  double recent_use = 0;
  absl::Time used_at = absl::InfinitePast();
  /// Part of the limit that this node may use while neither owner nor deputy
  /// answers.
  CreditBucket fallback;
  absl::Time fallback_at = absl::InfinitePast();
};

/// Counts a request.
void RecordUse(CreditStock& stock, absl::Time now);

/// Requests expected in the next second, beyond the one just counted.
uint32_t ExpectedUse(const CreditStock& stock);

/// Takes one credit; false if there is none. Sets `expires` to the expiry of
/// the credit.
bool TakeCredit(CreditStock& stock, absl::Time now, absl::Time* expires);

/// Adds unused credit.
void AddCredit(CreditStock& stock,
               uint32_t credit,
               absl::Time expires,
               absl::Time now);

/// Admits a request at this node's part of the limit. `share` scales the
/// account's limits to that part; `phase`, between 0 and 1, is constant for
/// the account and node, and different between nodes.
bool TakeFallback(CreditStock& stock,
                  const CreditLimits& limits,
                  double share,
                  double phase,
                  absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_STOCK_H_
