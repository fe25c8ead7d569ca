#include "boragepaddle/limits/credit_owner.h"

#include <algorithm>

namespace boragepaddle::limits {

namespace {

const absl::Duration kSlotLength =
    kCreditLease / static_cast<int64_t>(OutstandingCredit::kSlots);

/// A denial is at most this part of the time in which the bucket fills up, so
/// that a bucket whose askers are all denied does not overflow.
constexpr double kMaxDenialPart = 0.125;

int64_t SlotOf(absl::Time now) {
  return (now - absl::UnixEpoch()) / kSlotLength;
}

uint32_t& CountOf(OutstandingCredit& outstanding, int64_t slot) {
  return outstanding
      .counts[static_cast<size_t>(slot) % outstanding.counts.size()];
}

/// Drops the credit that has expired.
void Advance(OutstandingCredit& outstanding, absl::Time now) {
  const int64_t slot = SlotOf(now);
  const auto size = static_cast<int64_t>(outstanding.counts.size());
  for (int64_t next = std::max(outstanding.newest_slot + 1, slot - size + 1);
       next <= slot; ++next) {
    outstanding.sum -= CountOf(outstanding, next);
    CountOf(outstanding, next) = 0;
  }
  outstanding.newest_slot = std::max(outstanding.newest_slot, slot);
}

void Add(OutstandingCredit& outstanding, uint32_t credit) {
  CountOf(outstanding, outstanding.newest_slot) += credit;
  outstanding.sum += credit;
}

/// Removes the oldest credit first, so that the rest counts too long rather
/// than too short. Returns the credit that was outstanding.
uint32_t Remove(OutstandingCredit& outstanding, uint32_t credit) {
  const auto size = static_cast<int64_t>(outstanding.counts.size());
  uint32_t left = credit;
  for (int64_t slot = outstanding.newest_slot - size + 1;
       slot <= outstanding.newest_slot && left > 0; ++slot) {
    uint32_t& count = CountOf(outstanding, slot + size);
    const uint32_t removed = std::min(count, left);
    count -= removed;
    left -= removed;
  }
  outstanding.sum -= credit - left;
  return credit - left;
}

bool IsFull(const OwnedCredit& credit, bool partitioned, absl::Time now) {
  if (credit.role == CreditRole::kDeputy) {
    return now - credit.owner_refused_at < kRefusedReportAge;
  }
  return !partitioned && now >= credit.full_from;
}

/// Credit at the entry nodes counts as part of the bucket, so that the account
/// cannot spend it in addition to a full bucket.
void RefillWithin(OwnedCredit& credit,
                  const CreditLimits& limits,
                  absl::Time now) {
  Advance(credit.outstanding, now);
  Refill(credit.bucket, limits.rate_per_s,
         CapacityOf(limits) - credit.outstanding.sum, now);
}

}  // namespace

void SetRole(OwnedCredit& credit,
             CreditRole role,
             bool is_new,
             absl::Time now) {
  if (credit.role == role) {
    return;
  }
  // A deputy that grants for an owner whose process is gone keeps its bucket
  // when it becomes the owner: nobody else has granted since.
  const bool continues =
      credit.role == CreditRole::kDeputy && role == CreditRole::kOwner;
  const bool was_full = continues && IsFull(credit, /*partitioned=*/false, now);
  if (!continues) {
    credit.bucket = MakeCreditBucket(now);
    credit.outstanding = OutstandingCredit();
  }
  credit.role = role;
  credit.owner_refused_at = absl::InfinitePast();
  credit.full_from = is_new || was_full ? now : now + kHandoverWait;
}

void AcceptHandover(OwnedCredit& credit,
                    const CreditLimits& limits,
                    double tokens,
                    absl::Time now) {
  if (credit.role != CreditRole::kOwner) {
    SetRole(credit, CreditRole::kOwner, /*is_new=*/false, now);
  }
  RefillWithin(
      credit,
      now < credit.full_from ? Scaled(limits, kRestrictedShare) : limits, now);
  credit.bucket.tokens += tokens;
  credit.full_from = std::min(credit.full_from, now);
  RefillWithin(credit, limits, now);
}

double TakeAllTokens(OwnedCredit& credit,
                     const CreditLimits& limits,
                     absl::Time now) {
  RefillWithin(credit, limits, now);
  const double tokens = credit.bucket.tokens;
  credit.bucket.tokens = 0;
  return tokens;
}

CreditReply Grant(OwnedCredit& credit,
                  const CreditLimits& limits,
                  bool partitioned,
                  const CreditAsk& ask,
                  absl::Time now) {
  // The time until the first report counts at the restricted rate.
  const bool was_full = IsFull(credit, partitioned, now);
  if (ask.owner_refused && credit.role == CreditRole::kDeputy) {
    if (!was_full) {
      RefillWithin(credit, Scaled(limits, kRestrictedShare), now);
    }
    credit.owner_refused_at = now;
  }
  const bool is_full = IsFull(credit, partitioned, now);
  const CreditLimits in_force =
      is_full ? limits : Scaled(limits, kRestrictedShare);
  RefillWithin(credit, in_force, now);
  credit.bucket.tokens += Remove(credit.outstanding, ask.returned);
  RefillWithin(credit, in_force, now);

  CreditReply reply;
  reply.granted = TakeUpTo(credit.bucket, ask.wanted);
  if (reply.granted < ask.wanted) {
    const absl::Duration fill_time =
        absl::Seconds(in_force.burst / in_force.rate_per_s);
    reply.denied_for =
        std::max({TimeUntilToken(credit.bucket, in_force.rate_per_s),
                  std::min(kMinDenial, fill_time * kMaxDenialPart),
                  absl::Milliseconds(1)});
    if (!is_full) {
      reply.denied_for = std::min(reply.denied_for, kMaxRestrictedDenial);
    }
    return reply;
  }
  const double spare = credit.bucket.tokens - CapacityOf(in_force) / 2;
  if (spare >= 1) {
    const uint32_t extra =
        TakeUpTo(credit.bucket,
                 static_cast<uint32_t>(std::min<double>(spare, ask.expected)));
    Add(credit.outstanding, extra);
    reply.granted += extra;
  }
  return reply;
}

}  // namespace boragepaddle::limits
