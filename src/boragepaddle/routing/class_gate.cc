#include "boragepaddle/routing/class_gate.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "boragepaddle/routing/random_bits.h"

namespace boragepaddle::routing {

namespace {

constexpr absl::Duration kHalfLife = absl::Milliseconds(100);
// Without refusals for kHold, the headroom doubles every kDoubling.
constexpr absl::Duration kHold = absl::Milliseconds(100);
constexpr absl::Duration kDoubling = absl::Milliseconds(50);
// A class is shed in full for this time after a more important one was
// refused. As long as the gate's memory: with 100 ms, another entry admitted
// internal calls while this one still refused standard calls.
constexpr absl::Duration kPriorityHold = kGateMemory;
constexpr absl::Duration kProbeInterval = absl::Milliseconds(20);

void Decay(ClassFlow& flow, absl::Time now) {
  if (flow.updated != absl::InfinitePast()) {
    const double age = absl::FDivDuration(now - flow.updated, kHalfLife);
    const double factor = std::exp2(-std::max(age, 0.0));
    flow.offered *= factor;
    flow.accepted *= factor;
  }
  flow.updated = now;
}

double Headroom(const ClassGate& gate, const ClassFlow& flow, absl::Time now) {
  const absl::Duration quiet = now - flow.last_refusal - kHold;
  const double doublings = absl::FDivDuration(quiet, kDoubling);
  return gate.headroom * std::exp2(std::max(doublings, 0.0));
}

bool MoreImportantIsRefused(const ClassGate& gate,
                            size_t call_class,
                            absl::Time now) {
  for (size_t i = 0; i < call_class; ++i) {
    if (now - gate.flows[i].last_refusal < kPriorityHold) {
      return true;
    }
  }
  return false;
}

bool MayPass(const ClassGate& gate,
             const ClassFlow& flow,
             absl::Time now,
             uint64_t random) {
  if (now - flow.last_refusal >= kGateMemory || flow.offered <= 0) {
    return true;
  }
  const double share = flow.accepted * Headroom(gate, flow, now) / flow.offered;
  if (ToUnitInterval(DeriveBits(random, 1)) < share) {
    return true;
  }
  const double jitter = 1 + ToUnitInterval(DeriveBits(random, 2));
  return now - flow.last_pass >= kProbeInterval * jitter;
}

}  // namespace

bool LetPass(ClassGate& gate,
             schema::CallClass call_class,
             absl::Time now,
             uint64_t random) {
  const auto index = static_cast<size_t>(call_class);
  ClassFlow& flow = gate.flows[index];
  Decay(flow, now);
  if (MoreImportantIsRefused(gate, index, now) ||
      !MayPass(gate, flow, now, random)) {
    flow.offered += 1;
    return false;
  }
  flow.last_pass = now;
  return true;
}

void OnAccepted(ClassGate& gate, schema::CallClass call_class, absl::Time now) {
  ClassFlow& flow = gate.flows[static_cast<size_t>(call_class)];
  Decay(flow, now);
  // Counted at the end like the accepted calls, so that calls under way do
  // not lower the share.
  flow.offered += 1;
  flow.accepted += 1;
}

void OnRefused(ClassGate& gate, schema::CallClass call_class, absl::Time now) {
  ClassFlow& flow = gate.flows[static_cast<size_t>(call_class)];
  Decay(flow, now);
  flow.offered += 1;
  flow.last_refusal = now;
}

}  // namespace boragepaddle::routing
