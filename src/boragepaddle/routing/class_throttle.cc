#include "boragepaddle/routing/class_throttle.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "boragepaddle/routing/random_bits.h"

namespace boragepaddle::routing {

namespace {

constexpr absl::Duration kHalfLife = absl::Milliseconds(100);
// Without refusals for kHeadroomDelay, the headroom doubles every
// kHeadroomDoublingTime.
constexpr absl::Duration kHeadroomDelay = absl::Milliseconds(100);
constexpr absl::Duration kHeadroomDoublingTime = absl::Milliseconds(50);
// A class is refused entirely for this long after a more important one was
// refused. Equal to kThrottleDuration: with 100 ms, another entry node admitted
// internal calls while this one still refused standard calls.
constexpr absl::Duration kPriorityHold = kThrottleDuration;
constexpr absl::Duration kProbeInterval = absl::Milliseconds(20);

void Decay(ClassCallStats& stats, absl::Time now) {
  if (stats.updated != absl::InfinitePast()) {
    const double age = absl::FDivDuration(now - stats.updated, kHalfLife);
    const double factor = std::exp2(-std::max(age, 0.0));
    stats.offered *= factor;
    stats.accepted *= factor;
  }
  stats.updated = now;
}

double Headroom(const ClassThrottle& throttle,
                const ClassCallStats& stats,
                absl::Time now) {
  const absl::Duration since_refusal =
      now - stats.last_refusal - kHeadroomDelay;
  const double doublings =
      absl::FDivDuration(since_refusal, kHeadroomDoublingTime);
  return throttle.headroom * std::exp2(std::max(doublings, 0.0));
}

bool MoreImportantIsRefused(const ClassThrottle& throttle,
                            size_t call_class,
                            absl::Time now) {
  for (size_t i = 0; i < call_class; ++i) {
    if (now - throttle.stats_by_class[i].last_refusal < kPriorityHold) {
      return true;
    }
  }
  return false;
}

bool IsAllowed(const ClassThrottle& throttle,
               const ClassCallStats& stats,
               absl::Time now,
               uint64_t random) {
  if (now - stats.last_refusal >= kThrottleDuration || stats.offered <= 0) {
    return true;
  }
  const double share =
      stats.accepted * Headroom(throttle, stats, now) / stats.offered;
  if (ToUnitInterval(DeriveBits(random, 1)) < share) {
    return true;
  }
  const double jitter = 1 + ToUnitInterval(DeriveBits(random, 2));
  return now - stats.last_allowed >= kProbeInterval * jitter;
}

}  // namespace

bool AllowCall(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now,
               uint64_t random) {
  const auto index = static_cast<size_t>(call_class);
  ClassCallStats& stats = throttle.stats_by_class[index];
  Decay(stats, now);
  if (MoreImportantIsRefused(throttle, index, now) ||
      !IsAllowed(throttle, stats, now, random)) {
    stats.offered += 1;
    return false;
  }
  stats.last_allowed = now;
  return true;
}

void OnAccepted(ClassThrottle& throttle,
                schema::CallClass call_class,
                absl::Time now) {
  ClassCallStats& stats =
      throttle.stats_by_class[static_cast<size_t>(call_class)];
  Decay(stats, now);
  // Offered calls are counted when they end, as accepted ones are, so that
  // calls in flight do not lower the accepted share.
  stats.offered += 1;
  stats.accepted += 1;
}

void OnRefused(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now) {
  ClassCallStats& stats =
      throttle.stats_by_class[static_cast<size_t>(call_class)];
  Decay(stats, now);
  stats.offered += 1;
  stats.last_refusal = now;
}

}  // namespace boragepaddle::routing
