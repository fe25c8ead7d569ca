#include "boragepaddle/limits/credit_stock.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::limits {

namespace {

constexpr absl::Duration kUseTimeConstant = absl::Seconds(1);

/// Credit is asked for this multiple of the expected use, so that a node seldom
/// runs out of it before it expires.
constexpr double kUseMargin = 1.25;
constexpr double kMaxExpectedUse = 1e6;

/// Lots beyond this number are merged.
constexpr size_t kMaxLots = 8;

/// Time after the last fallback decision from which on the next one starts
/// with a new bucket.
constexpr absl::Duration kFallbackMemory = absl::Seconds(30);

/// Time for which a node keeps a single fallback token.
constexpr absl::Duration kFallbackTokenAge = absl::Seconds(1);

}  // namespace

void RecordUse(CreditStock& stock, absl::Time now) {
  if (stock.recent_use > 0) {
    stock.recent_use *= std::exp(-absl::FDivDuration(
        std::max(now - stock.used_at, absl::ZeroDuration()), kUseTimeConstant));
  }
  stock.recent_use += 1;
  stock.used_at = now;
}

uint32_t ExpectedUse(const CreditStock& stock) {
  // Remainders of use long ago do not justify a credit.
  constexpr double kNegligible = 0.05;
  const double others = std::clamp(stock.recent_use - 1, 0.0, kMaxExpectedUse);
  return others < kNegligible
             ? 0
             : static_cast<uint32_t>(std::ceil(others * kUseMargin));
}

bool TakeCredit(CreditStock& stock, absl::Time now, absl::Time* expires) {
  while (!stock.lots.empty()) {
    CreditLot& lot = stock.lots.front();
    if (lot.credit > 0 && now < lot.expires) {
      --lot.credit;
      *expires = lot.expires;
      return true;
    }
    stock.lots.erase(stock.lots.begin());
  }
  return false;
}

void AddCredit(CreditStock& stock,
               uint32_t credit,
               absl::Time expires,
               absl::Time now) {
  if (credit == 0 || expires <= now) {
    return;
  }
  auto lot = std::lower_bound(
      stock.lots.begin(), stock.lots.end(), expires,
      [](const CreditLot& a, absl::Time time) { return a.expires < time; });
  if (lot != stock.lots.end() && lot->expires == expires) {
    lot->credit += credit;
    return;
  }
  if (stock.lots.size() >= kMaxLots && lot != stock.lots.begin()) {
    // The earlier expiry holds for both.
    (lot - 1)->credit += credit;
    return;
  }
  stock.lots.insert(lot, {expires, credit});
  if (stock.lots.size() > kMaxLots) {
    stock.lots[0].credit += stock.lots[1].credit;
    stock.lots.erase(stock.lots.begin() + 1);
  }
}

// Most accounts have far less than one request per second and node. If each
// node saved up one token, all nodes together could spend as many tokens as
// there are nodes at once. So the tokens of the nodes come due at different
// times (`phase`), and a token that is not used soon is dropped.
bool TakeFallback(CreditStock& stock,
                  const CreditLimits& limits,
                  double share,
                  double phase,
                  absl::Time now) {
  const CreditLimits part = Scaled(limits, share);
  const bool is_single = part.burst < 1;
  if (now - stock.fallback_at > kFallbackMemory) {
    stock.fallback = MakeCreditBucket(now);
    stock.fallback.tokens = is_single ? phase : 0;
  }
  stock.fallback_at = now;
  if (!is_single) {
    Refill(stock.fallback, part.rate_per_s, CapacityOf(part), now);
    return TakeUpTo(stock.fallback, 1) == 1;
  }
  // Counts in whole tokens without a capacity, to tell when the last one came.
  CreditBucket& bucket = stock.fallback;
  bucket.tokens +=
      part.rate_per_s * absl::ToDoubleSeconds(now - bucket.filled_at);
  bucket.filled_at = now;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= std::floor(bucket.tokens);
  const absl::Duration age = absl::Seconds(bucket.tokens / part.rate_per_s);
  return age <= kFallbackTokenAge;
}

}  // namespace boragepaddle::limits
