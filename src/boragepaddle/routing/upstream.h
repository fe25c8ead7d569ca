#ifndef BORAGEPADDLE_ROUTING_UPSTREAM_H_
#define BORAGEPADDLE_ROUTING_UPSTREAM_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// State of one upstream as seen by this node.
struct Upstream {
  schema::VmEntry vm;
  /// The upstream is in this node's subset and live in the VM list.
  bool in_subset = false;

  /// Incarnation that the upstream last named; 0 if unknown.
  uint64_t incarnation = 0;
  /// The current incarnation announced that it is leaving.
  bool leaving = false;
  absl::Time leaving_since = absl::InfinitePast();
  /// Incarnations that announced that they are leaving, newest last.
  std::vector<uint64_t> left_incarnations;
  /// Start of slow start, from which the weight grows.
  absl::Time slow_start_from = absl::InfinitePast();

  /// Attempts of this node that await an answer.
  uint32_t in_flight = 0;
  /// Time of the last answer, or of the first attempt sent while none was in
  /// flight.
  absl::Time last_progress = absl::InfinitePast();
  /// Mean delay of completed attempts; zero if none completed.
  absl::Duration mean_delay;
  absl::Time mean_delay_at = absl::InfinitePast();
  /// Delay of the slowest recent attempt; decays with each faster one.
  absl::Duration peak_delay;
  /// Smoothed share of recent attempts that were refused or failed, as of
  /// `failure_rate_at`.
  double failure_rate = 0;
  absl::Time failure_rate_at = absl::InfinitePast();

  /// Number of admitted classes according to the last answer.
  uint32_t admission_level = schema::kCallClassCount;
  absl::Time admission_level_at = absl::InfinitePast();
  /// Requests in flight at the upstream according to its last answer.
  uint32_t reported_in_flight = 0;

  /// Consecutive connection losses and unresponsive periods.
  uint32_t consecutive_failures = 0;
  /// End of the current back-off.
  absl::Time back_off_until = absl::InfinitePast();
};

/// True if the last admission level is recent enough to refuse the class.
bool RefusesClass(const Upstream& upstream,
                  schema::CallClass call_class,
                  absl::Time now);

/// True if the last admission level is recent and admits the class.
bool AdmitsClass(const Upstream& upstream,
                 schema::CallClass call_class,
                 absl::Time now);

/// True if attempts are in flight and no answer arrived for unusually long, as
/// with a frozen process.
bool IsUnresponsive(const Upstream& upstream, absl::Time now);

/// Share of the normal load that the upstream should get, in (0, 1].
double SlowStartWeight(const Upstream& upstream, absl::Time now);

/// Expected delay. The measured delay decays to `typical` while the upstream
/// completes nothing, so that one slow answer does not exclude it permanently.
absl::Duration ExpectedDelay(const Upstream& upstream,
                             absl::Duration typical,
                             absl::Time now);

/// Failure rate as of now.
double CurrentFailureRate(const Upstream& upstream, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_UPSTREAM_H_
