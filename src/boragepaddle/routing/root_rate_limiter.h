#ifndef BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_
#define BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/routing/account_fairness.h"
#include "boragepaddle/routing/capacity_backoff.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Settings of the rate limiter for root requests at their entry node.
struct RootRateLimiterSettings {
  /// Weight of one sample in the smoothed cost of a route.
  double cost_sample_weight = 0.1;
  /// The first requests of a route all report their cost, later ones one in
  /// `sample_interval`.
  uint32_t initial_samples = 16;
  uint32_t sample_interval = 3;
  /// Load of a service up to which root requests are admitted; 1 is all of its
  /// slots.
  double target_load = 0.92;
  /// Burst capacity: time over which unused tokens accumulate. Also the debt
  /// that the most important requests may incur.
  absl::Duration burst = absl::Milliseconds(150);
  /// Share of the shared bucket that each priority leaves to the next more
  /// important one.
  double reserve = 0.25;
  /// Share of the rate that each priority has for itself, so that no priority
  /// is starved.
  double guaranteed_share = 0.06;
  /// Bound on the sum of these shares. Client accounts may bring many
  /// priorities, whose shares would otherwise exceed the whole rate.
  double max_guaranteed_sum = 0.3;
  /// Concurrent requests of a route until one of them reported its cost.
  uint32_t initial_max_running = 8;
  /// Time for which a report is valid.
  absl::Duration report_ttl = absl::Seconds(1);
  /// Rate factor for workers without a report.
  double default_factor = 1.35;
  CapacityBackoffSettings backoff;
  AccountFairnessSettings accounts;
};

/// Cost of the requests of a route.
struct RouteCost {
  /// Smoothed slot time per request in seconds, by service.
  absl::btree_map<std::string, double> slot_seconds;
  uint32_t samples = 0;
  uint64_t requests = 0;
  /// Admitted requests that are running.
  uint32_t running = 0;
};

/// Token bucket that refills at a constant rate. A token is one second of slot
/// time.
struct TokenBucket {
  /// Available slot time in seconds; negative while in debt.
  double tokens = 0;
  absl::Time last_refill = absl::InfinitePast();
};

/// Last admission rate report of one worker.
struct AdmissionRateReport {
  double factor = 1;
  double weight = 1;
  absl::Time at = absl::InfinitePast();
};

/// Token buckets of one service.
struct ServiceBuckets {
  TokenBucket shared;
  /// Guaranteed buckets by priority, for the priorities seen so far.
  absl::btree_map<uint32_t, TokenBucket> guaranteed;
  /// Division among accounts by priority; empty without accounts.
  absl::btree_map<uint32_t, AccountShares> accounts;
  /// Reports by host of the worker.
  absl::btree_map<std::string, AdmissionRateReport> reports;
  CapacityBackoff backoff;
  /// Total slots of the usable workers, and the directory generation for which
  /// they were counted.
  double slots = 0;
  uint64_t generation = 0;
};

struct RootRateLimiter {
  RootRateLimiterSettings settings;
  absl::btree_map<std::string, RouteCost> routes;
  /// std::map, since references to values must stay valid when others are
  /// inserted.
  std::map<std::string, ServiceBuckets, std::less<>> services;
  /// Number of entry nodes that share the capacity of a service.
  double entry_nodes = 1;
  uint64_t entries_generation = 0;
  /// Refusals of requests that an account below its fair share would have got
  /// admitted.
  uint64_t account_refusals = 0;
};

/// Stores the admission rate that a worker's node reported.
void OnAdmissionRateReport(RootRateLimiter& limiter,
                           absl::string_view service,
                           absl::string_view host,
                           const schema::GateLoad& load,
                           absl::Time now);

/// Adds the cost that a request reported which ran to its end.
void OnCostReport(RootRateLimiter& limiter,
                  absl::string_view route,
                  absl::Span<const schema::ServiceUse> use);

/// Adds the cost that a request reported which failed early: a lower bound on
/// the cost of its route.
void OnPartialCostReport(RootRateLimiter& limiter,
                         absl::string_view route,
                         absl::Span<const schema::ServiceUse> use);

/// End of an admitted root request.
struct RootRequestEnd {
  absl::string_view route;
  /// The request was served.
  bool served = false;
  /// Service that refused a nested call, so that the request failed; empty if
  /// none did.
  absl::string_view refused_service;
  /// Mean slot time of a call to that service; 0 if unknown.
  absl::Duration refused_slot_time;
  absl::Time admitted_at;
  absl::Time now;
};

/// Records the end of an admitted request.
void OnRootRequestEnded(RootRateLimiter& limiter, const RootRequestEnd& end);

/// Factor on the share of the service's capacity that root requests may use:
/// the mean of the valid reports of its workers, weighted by their concurrency
/// limits, reduced by the backoff of this node.
double ServiceRateFactor(const RootRateLimiter& limiter,
                         absl::string_view service,
                         absl::Time now);

/// Lowest backoff factor of all services; 1 if none is reduced.
double LowestBackoffFactor(const RootRateLimiter& limiter);

/// Accounts that were dropped from full tables of recent slot time.
uint64_t EvictedAccounts(const RootRateLimiter& limiter);

/// Number of routes that had requests and whose cost is unknown.
size_t RoutesWithoutCost(const RootRateLimiter& limiter);

/// True if the next request of the route should report its cost.
bool NeedsCostSample(const RootRateLimiter& limiter, absl::string_view route);

/// A root request that requests admission.
struct RootRequest {
  absl::string_view route;
  /// Service to which the request is sent.
  absl::string_view target;
  uint32_t priority = 0;
  absl::Time now;
  /// Client account; empty if none.
  absl::string_view account = "";
  /// The request was refused before and waits for capacity.
  bool asked_before = false;
};

struct RootDecision {
  /// Service without capacity; empty if the request may start.
  std::string limiting_service;
  /// The request was refused because of its account's recent slot time.
  bool over_fair_share = false;
};

/// Decides whether a root request may start, and takes its slot time from the
/// buckets. OnRootRequestEnded must follow for each admitted request.
RootDecision DecideRoot(RootRateLimiter& limiter,
                        const catalog::WorkerDirectory& directory,
                        const RootRequest& query);

/// As DecideRoot; returns only the service without capacity.
std::string AdmitRoot(RootRateLimiter& limiter,
                      const catalog::WorkerDirectory& directory,
                      const RootRequest& query);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROOT_RATE_LIMITER_H_
