#ifndef BORAGEPADDLE_LIMITS_CREDIT_OWNER_H_
#define BORAGEPADDLE_LIMITS_CREDIT_OWNER_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/limits/credit_bucket.h"

namespace boragepaddle::limits {

/// Share of an account's limits that is granted by a node that may not be the
/// only one: a deputy, a new owner without a handover, a partitioned owner.
inline constexpr double kRestrictedShare = 0.2;

/// Longest validity of granted credit.
inline constexpr absl::Duration kCreditLease = absl::Seconds(1);

/// Time for which a new owner that got no handover is restricted. The old owner
/// may learn of the change later.
inline constexpr absl::Duration kHandoverWait = absl::Seconds(1);

/// Time for which a report that no process listens at the owner's address lets
/// the deputy grant at the full rate.
inline constexpr absl::Duration kRefusedReportAge = absl::Seconds(1);

/// Shortest interval at which a node whose request was denied asks again; the
/// interval is shorter for an account with a small burst, whose bucket would
/// overflow meanwhile.
inline constexpr absl::Duration kMinDenial = absl::Milliseconds(100);

/// Longest denial by a restricted node. The restriction may end at any time.
inline constexpr absl::Duration kMaxRestrictedDenial = absl::Milliseconds(500);

enum class CreditRole : uint8_t { kNone, kOwner, kDeputy };

/// Unused credit at the entry nodes, at most; by time of expiry.
struct OutstandingCredit {
  static constexpr size_t kSlots = 10;
  std::array<uint32_t, kSlots + 1> counts{};
  int64_t newest_slot = 0;
  uint32_t sum = 0;
};

/// Credit of an account at its owner or deputy.
struct OwnedCredit {
  CreditRole role = CreditRole::kNone;
  CreditBucket bucket;
  OutstandingCredit outstanding;
  /// An owner grants at the full rate from this time on.
  absl::Time full_from = absl::InfiniteFuture();
  /// Time of the last report that no process listens at the owner's address.
  absl::Time owner_refused_at = absl::InfinitePast();
};

/// A request for credit by an entry node.
struct CreditAsk {
  /// Requests that wait for credit.
  uint32_t wanted = 0;
  /// Requests that are expected until credit would expire.
  uint32_t expected = 0;
  /// Unexpired credit that is given back.
  uint32_t returned = 0;
  /// No process listens at the owner's address, or it is stopping.
  bool owner_refused = false;
};

struct CreditReply {
  uint32_t granted = 0;
  /// Zero if all wanted credit was granted.
  absl::Duration denied_for;
};

/// Sets the role according to the list of workers. `is_new` is true if no other
/// node can have been responsible for the account before.
void SetRole(OwnedCredit& credit, CreditRole role, bool is_new, absl::Time now);

/// The former owner moved its tokens here.
void AcceptHandover(OwnedCredit& credit,
                    const CreditLimits& limits,
                    double tokens,
                    absl::Time now);

/// Removes and returns all tokens.
double TakeAllTokens(OwnedCredit& credit,
                     const CreditLimits& limits,
                     absl::Time now);

/// Grants credit. `partitioned` is true if this node may be cut off from most
/// others.
CreditReply Grant(OwnedCredit& credit,
                  const CreditLimits& limits,
                  bool partitioned,
                  const CreditAsk& ask,
                  absl::Time now);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_OWNER_H_
