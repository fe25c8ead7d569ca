#ifndef BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_
#define BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Offered and accepted calls of one class at a service or an operation.
struct ClassCallStats {
  /// Exponentially decaying counts as of `updated`.
  double offered = 0;
  double accepted = 0;
  absl::Time updated = absl::InfinitePast();
  absl::Time last_refusal = absl::InfinitePast();
  absl::Time last_allowed = absl::InfinitePast();
};

/// Adaptive client-side throttling by class. Refuses calls at the entry node
/// while the service (or a service below the operation) refuses their class.
/// Allows about as many calls as were accepted recently, and occasional probes
/// if none were. Throttling ends at most kThrottleDuration after the last
/// refusal.
struct ClassThrottle {
  /// Calls allowed per accepted call while the class is refused.
  double headroom = 1.5;
  std::array<ClassCallStats, schema::kCallClassCount> stats_by_class;
};

/// Time after the last refusal from which all calls are allowed.
inline constexpr absl::Duration kThrottleDuration = absl::Milliseconds(300);

/// Decides whether to send one call, and counts it. A class is refused entirely
/// while a more important one is refused.
bool AllowCall(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now,
               uint64_t random);

/// Records that an allowed call was accepted.
void OnAccepted(ClassThrottle& throttle,
                schema::CallClass call_class,
                absl::Time now);

/// Records that an allowed call was refused because of overload.
void OnRefused(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_
