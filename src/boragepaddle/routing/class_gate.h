#ifndef BORAGEPADDLE_ROUTING_CLASS_GATE_H_
#define BORAGEPADDLE_ROUTING_CLASS_GATE_H_

#include <array>
#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Calls of one class that a service or an operation accepted and refused.
struct ClassFlow {
  /// Decaying counts as of `updated`.
  double offered = 0;
  double accepted = 0;
  absl::Time updated = absl::InfinitePast();
  absl::Time last_refusal = absl::InfinitePast();
  absl::Time last_pass = absl::InfinitePast();
};

/// Refuses calls at the entry while the service (or a service below the
/// operation) refuses their class. It lets about as many calls pass as were
/// accepted recently, and probes when none were. It opens by itself within
/// kGateMemory of the last refusal.
struct ClassGate {
  /// Calls that pass for each accepted one while the class is refused.
  double headroom = 1.5;
  std::array<ClassFlow, schema::kCallClassCount> flows;
};

/// Time after the last refusal from which all calls pass.
inline constexpr absl::Duration kGateMemory = absl::Milliseconds(300);

/// Decides about one call and counts it. A class is refused in full while a
/// more important one is refused.
bool LetPass(ClassGate& gate,
             schema::CallClass call_class,
             absl::Time now,
             uint64_t random);

/// A call that passed was accepted.
void OnAccepted(ClassGate& gate, schema::CallClass call_class, absl::Time now);

/// A call that passed was refused because of overload.
void OnRefused(ClassGate& gate, schema::CallClass call_class, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_CLASS_GATE_H_
