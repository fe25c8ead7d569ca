#ifndef BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_
#define BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Calls of one class that a service or an operation accepted and refused.
struct ClassCallStats {
  /// Decaying counts as of `updated`.
  double offered = 0;
  double accepted = 0;
  absl::Time updated = absl::InfinitePast();
  absl::Time last_refusal = absl::InfinitePast();
  absl::Time last_allowed = absl::InfinitePast();
};

/// Refuses calls at the entry while the service (or a service below the
/// operation) refuses their class. It lets about as many calls pass as were
/// accepted recently, and probes when none were. It opens by itself within
/// kThrottleDuration of the last refusal.
struct ClassThrottle {
  /// Calls that pass for each accepted one while the class is refused.
  double headroom = 1.5;
  std::array<ClassCallStats, schema::kCallClassCount> stats_by_class;
};

/// Time after the last refusal from which all calls pass.
inline constexpr absl::Duration kThrottleDuration = absl::Milliseconds(300);

/// Decides about one call and counts it. A class is refused in full while a
/// more important one is refused.
bool AllowCall(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now,
               uint64_t random);

/// A call that passed was accepted.
void OnAccepted(ClassThrottle& throttle,
                schema::CallClass call_class,
                absl::Time now);

/// A call that passed was refused because of overload.
void OnRefused(ClassThrottle& throttle,
               schema::CallClass call_class,
               absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_CLASS_THROTTLE_H_
