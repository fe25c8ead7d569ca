#include "boragepaddle/routing/upstream.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::routing {

namespace {

// An admission level stays valid longer for less important classes, so that
// important classes use freed capacity first. The longest validity (bulk, 100
// ms) bounds what a stale level adds to the recovery time.
constexpr absl::Duration kLevelValidityStep = absl::Milliseconds(25);
constexpr absl::Duration kSlowStart = absl::Seconds(5);
constexpr double kMinWeight = 0.1;
// Shorter pauses occur when the scheduler is busy for some time slices.
constexpr absl::Duration kMinUnresponsiveTime = absl::Milliseconds(100);
constexpr int kUnresponsiveFactor = 3;
constexpr absl::Duration kFailureRateHalfLife = absl::Milliseconds(250);
// Half-life of the measured delay: a node that was frozen answers late once,
// and without decay that delay would keep it out of use after it recovered.
constexpr absl::Duration kDelayHalfLife = absl::Milliseconds(500);

bool LevelIsRecent(const Upstream& upstream,
                   schema::CallClass call_class,
                   absl::Time now) {
  const int steps = static_cast<int>(call_class) + 1;
  return now - upstream.admission_level_at < steps * kLevelValidityStep;
}

}  // namespace

bool RefusesClass(const Upstream& upstream,
                  schema::CallClass call_class,
                  absl::Time now) {
  return upstream.admission_level <= static_cast<uint32_t>(call_class) &&
         LevelIsRecent(upstream, call_class, now);
}

bool AdmitsClass(const Upstream& upstream,
                 schema::CallClass call_class,
                 absl::Time now) {
  return upstream.admission_level > static_cast<uint32_t>(call_class) &&
         LevelIsRecent(upstream, call_class, now);
}

bool IsUnresponsive(const Upstream& upstream, absl::Time now) {
  const absl::Duration limit =
      std::max(kMinUnresponsiveTime, kUnresponsiveFactor * upstream.peak_delay);
  return upstream.in_flight > 0 && now - upstream.last_progress > limit;
}

double SlowStartWeight(const Upstream& upstream, absl::Time now) {
  const double share =
      absl::FDivDuration(now - upstream.slow_start_from, kSlowStart);
  return std::min(1.0, std::max(kMinWeight, share));
}

absl::Duration ExpectedDelay(const Upstream& upstream,
                             absl::Duration typical,
                             absl::Time now) {
  if (upstream.mean_delay == absl::ZeroDuration()) {
    return typical;
  }
  const double age =
      absl::FDivDuration(now - upstream.mean_delay_at, kDelayHalfLife);
  return typical +
         (upstream.mean_delay - typical) * std::exp2(-std::max(age, 0.0));
}

double CurrentFailureRate(const Upstream& upstream, absl::Time now) {
  if (upstream.failure_rate <= 0) {
    return 0;
  }
  const absl::Duration age = now - upstream.failure_rate_at;
  return upstream.failure_rate *
         std::exp2(-absl::FDivDuration(age, kFailureRateHalfLife));
}

}  // namespace boragepaddle::routing
