#include "boragepaddle/routing/class_throttle.h"

#include <doctest/doctest.h>

#include "boragepaddle/routing/random_bits.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle::routing {
namespace {

using schema::CallClass;

/// Calls that were allowed, and those of them that were accepted.
struct Counts {
  int allowed = 0;
  int accepted = 0;
};

/// Offers one call per millisecond to a service that accepts `capacity` calls
/// per 100 ms with bursts of up to 10.
Counts Offer(ClassThrottle& throttle, int from, int to, int capacity) {
  Counts counts;
  double credit = 0;
  for (int ms = from; ms < to; ++ms) {
    credit = std::min(credit + capacity / 100.0, 10.0);
    const uint64_t random = DeriveBits(static_cast<uint64_t>(ms), 9);
    if (!AllowCall(throttle, CallClass::kStandard, At(ms), random)) {
      continue;
    }
    ++counts.allowed;
    if (credit >= 1) {
      credit -= 1;
      ++counts.accepted;
      OnAccepted(throttle, CallClass::kStandard, At(ms));
    } else {
      OnRefused(throttle, CallClass::kStandard, At(ms));
    }
  }
  return counts;
}

// Guards against a throttle that refuses more than the service does, and
// against calls that are allowed only to be refused downstream.
TEST_CASE("throttle: at five times the capacity the service stays fully used") {
  for (const double headroom : {1.1, 1.5}) {
    ClassThrottle throttle;
    throttle.headroom = headroom;
    Offer(throttle, 0, 1000, 20);
    const Counts counts = Offer(throttle, 1000, 11000, 20);
    CHECK(counts.accepted >= 2000 * 95 / 100);
    CHECK(counts.allowed <= counts.accepted * (headroom + 0.1));
  }
}

TEST_CASE("throttle: a total refusal allows only probes") {
  ClassThrottle throttle;
  Offer(throttle, 0, 1000, 0);
  const Counts counts = Offer(throttle, 1000, 2000, 0);
  CHECK(counts.allowed >= 20);
  CHECK(counts.allowed <= 60);
}

// Guards against throttling that outlasts the overload.
TEST_CASE("throttle: all calls are allowed soon after the overload ends") {
  for (const int capacity : {0, 20, 60}) {
    ClassThrottle throttle;
    Offer(throttle, 0, 3000, capacity);
    Offer(throttle, 3000, 3350, 100);
    const Counts counts = Offer(throttle, 3350, 4350, 100);
    CHECK(counts.allowed >= 990);
  }
}

// Guards against a priority inversion at the entry node (R2).
TEST_CASE("throttle: a class is refused while a more important one is") {
  ClassThrottle throttle;
  OnRefused(throttle, CallClass::kStandard, At(0));
  for (uint64_t i = 0; i < 100; ++i) {
    CHECK_FALSE(AllowCall(throttle, CallClass::kBulk, At(50), i));
    CHECK(AllowCall(throttle, CallClass::kMember, At(50), i));
  }
  // Lasts as long as the refused class itself may be throttled here.
  CHECK_FALSE(AllowCall(throttle, CallClass::kBulk, At(299), 0));
  CHECK(AllowCall(throttle, CallClass::kBulk, At(301), 0));
}

}  // namespace
}  // namespace boragepaddle::routing
