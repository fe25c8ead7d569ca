#ifndef BORAGEPADDLE_ROUTING_UPSTREAM_H_
#define BORAGEPADDLE_ROUTING_UPSTREAM_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// What this node knows of one upstream.
struct Upstream {
  schema::VmEntry vm;
  /// In the subset that this node uses and live in the VM list.
  bool in_subset = false;

  /// Incarnation that the upstream last named; 0 if not known.
  uint64_t incarnation = 0;
  /// The current incarnation said that it is leaving.
  bool leaving = false;
  absl::Time leaving_since = absl::InfinitePast();
  /// Incarnations that said that they are leaving, newest last.
  std::vector<uint64_t> left_incarnations;
  /// When the upstream was first seen; the weight grows from then on.
  absl::Time slow_start_from = absl::InfinitePast();

  /// Attempts of this node that wait for an answer.
  uint32_t in_flight = 0;
  /// Last answer, or the first send since nothing was in flight.
  absl::Time last_progress = absl::InfinitePast();
  /// Mean time of completed attempts; zero if none completed.
  absl::Duration mean_delay;
  absl::Time mean_delay_at = absl::InfinitePast();
  /// Slowest recent attempt; decays with each faster one.
  absl::Duration peak_delay;
  /// Share of recent attempts that were refused or failed, as of
  /// `failure_rate_at`.
  double failure_rate = 0;
  absl::Time failure_rate_at = absl::InfinitePast();

  /// Number of classes admitted according to the last answer.
  uint32_t admission_level = schema::kCallClassCount;
  absl::Time admission_level_at = absl::InfinitePast();
  /// Requests at the upstream according to its last answer.
  uint32_t reported_in_flight = 0;

  /// Consecutive connection losses or silences.
  uint32_t consecutive_failures = 0;
  /// Back-off after a connection loss or silence.
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

/// True if attempts wait and no answer came for unusually long, as with a
/// frozen process.
bool IsUnresponsive(const Upstream& upstream, absl::Time now);

/// Share of the normal load that the upstream should get, in (0, 1].
double SlowStartWeight(const Upstream& upstream, absl::Time now);

/// Expected delay. The measured one fades to `typical` while the upstream
/// completes nothing, so that one slow answer does not exclude it for good.
absl::Duration ExpectedDelay(const Upstream& upstream,
                             absl::Duration typical,
                             absl::Time now);

/// Trouble as of now.
double CurrentFailureRate(const Upstream& upstream, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_UPSTREAM_H_
