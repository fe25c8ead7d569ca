#ifndef BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_
#define BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Gate for root requests at their entry.
struct RootRateLimiterSettings {
  /// Weight of one sample in what a route uses of a service.
  double cost_sample_weight = 0.1;
  /// The first requests of a route all report what they use, later ones one
  /// in this many.
  uint32_t initial_samples = 16;
  uint32_t sample_interval = 3;
  /// Load of a service up to which root requests are admitted.
  double target_load = 0.92;
  /// Time over which unused allowance is kept, and up to which the most
  /// important requests may run into debt.
  absl::Duration burst = absl::Milliseconds(150);
  /// Share of the allowance that is kept back from each lower priority.
  double reserve = 0.25;
  /// Share of the allowance that each priority has for itself, so that no kind
  /// of request ends altogether.
  double guaranteed_share = 0.06;
  /// Requests of a route that may run at once while nothing is known of what
  /// they use, and the number of ended ones after which that no longer holds.
  uint32_t initial_max_running = 8;
  uint32_t initial_request_count = 32;
  /// Reports count for this long.
  absl::Duration report_ttl = absl::Seconds(1);
  /// Factor for workers without a report.
  double default_factor = 1.35;
};

/// What requests of a route use.
struct RouteCost {
  /// Slot time per request, in seconds, by service.
  absl::btree_map<std::string, double> slot_seconds;
  uint32_t samples = 0;
  uint64_t requests = 0;
  /// Admitted requests that have not ended, and that have.
  uint32_t running = 0;
  uint64_t ended = 0;
};

/// TokenBucket of slot time that refills at a steady rate.
struct TokenBucket {
  /// Slot time that may be used now, in seconds.
  double tokens = 0;
  absl::Time last_refill = absl::InfinitePast();
};

/// Last report of one worker.
struct AdmissionRateReport {
  double factor = 1;
  double weight = 1;
  absl::Time at = absl::InfinitePast();
};

/// Allowances for one service.
struct ServiceBuckets {
  TokenBucket shared;
  /// By priority; priorities that were seen.
  absl::btree_map<uint32_t, TokenBucket> guaranteed;
  /// By host of the worker.
  absl::btree_map<std::string, AdmissionRateReport> reports;
  /// Slots of the service that are in use, and the directory generation that
  /// they were counted for.
  double slots = 0;
  uint64_t generation = 0;
};

struct RootRateLimiter {
  RootRateLimiterSettings settings;
  absl::btree_map<std::string, RouteCost> routes;
  /// A map whose values stay in place when others are added.
  std::map<std::string, ServiceBuckets, std::less<>> services;
  /// Entries that share the capacity of a service.
  double entry_nodes = 1;
  uint64_t entries_generation = 0;
};

/// A worker's node reported its grant.
void OnAdmissionRateReport(RootRateLimiter& limiter,
                           absl::string_view service,
                           absl::string_view host,
                           const schema::GateLoad& load,
                           absl::Time now);

/// A request completed and told what it used.
void OnCostReport(RootRateLimiter& limiter,
                  absl::string_view route,
                  absl::Span<const schema::ServiceUse> use);

/// An admitted request ended.
void OnRootRequestEnded(RootRateLimiter& limiter, absl::string_view route);

/// True if the next request of the route is to tell what it uses.
bool NeedsCostSample(const RootRateLimiter& limiter, absl::string_view route);

/// A root request that asks to start.
struct RootRequest {
  absl::string_view route;
  /// Service that the request goes to.
  absl::string_view target;
  uint32_t priority = 0;
  absl::Time now;
};

/// Decides whether a root request may start, and takes its slot time from the
/// allowances. Empty if it may; else the service that has no room.
/// OnRootRequestEnded follows for each admitted request.
std::string AdmitRoot(RootRateLimiter& limiter,
                      const catalog::WorkerDirectory& directory,
                      const RootRequest& query);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_
