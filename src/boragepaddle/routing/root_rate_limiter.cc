#include "boragepaddle/routing/root_rate_limiter.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "absl/container/btree_set.h"

namespace boragepaddle::routing {

namespace {

constexpr double kThousand = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Assumed slot time per request before the first sample, in seconds.
constexpr double kDefaultCost = 0.05;

/// Slot count for services without listed workers, which are not limited here;
/// they fail at the choice of a worker.
constexpr double kNoLimit = 1e9;

struct ServiceCost {
  std::string service;
  double seconds = 0;
};

std::vector<ServiceCost> CostsOf(const RouteCost& route,
                                 absl::string_view target) {
  std::vector<ServiceCost> use;
  for (const auto& [service, seconds] : route.slot_seconds) {
    use.push_back({service, seconds});
  }
  if (!route.slot_seconds.contains(target)) {
    use.push_back({std::string(target), kDefaultCost});
  }
  return use;
}

void UpdateEntryNodes(RootRateLimiter& limiter,
                      const catalog::WorkerDirectory& directory) {
  if (limiter.entries_generation == directory.generation) {
    return;
  }
  limiter.entries_generation = directory.generation;
  absl::btree_set<absl::string_view> hosts;
  for (const auto& [instance, entry] : directory.entries) {
    hosts.insert(entry.host);
  }
  limiter.entry_nodes = std::max<double>(1, static_cast<double>(hosts.size()));
}

void UpdateSlots(ServiceBuckets& service,
                 absl::string_view name,
                 const catalog::WorkerDirectory& directory) {
  if (service.generation == directory.generation) {
    return;
  }
  service.generation = directory.generation;
  service.slots = 0;
  for (const auto& [instance, entry] : directory.entries) {
    if (entry.service == name && catalog::IsUsable(entry)) {
      service.slots += entry.slots;
    }
  }
}

/// Mean factor of the workers, weighted by their limits. Workers without a
/// recent report count with the default.
double RateFactor(const RootRateLimiterSettings& settings,
                  const ServiceBuckets& service,
                  absl::Time now) {
  double factor = 0;
  double weight = 0;
  for (const auto& [host, report] : service.reports) {
    if (now - report.at < settings.report_ttl) {
      factor += report.factor * report.weight;
      weight += report.weight;
    }
  }
  const double unreported = std::max(0.0, service.slots - weight);
  const double total = weight + unreported;
  return total > 0 ? (factor + unreported * settings.default_factor) / total
                   : settings.default_factor;
}

double RateFactorAfterBackoff(const RootRateLimiterSettings& settings,
                              const ServiceBuckets& service,
                              absl::Time now) {
  return RateFactor(settings, service, now) * service.backoff.factor;
}

void Refill(TokenBucket& bucket, double rate, double capacity, absl::Time now) {
  if (bucket.last_refill == absl::InfinitePast()) {
    bucket.tokens = capacity;
    bucket.last_refill = now;
    return;
  }
  // Requests that were queued may use an earlier time than the last refill.
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - bucket.last_refill));
  bucket.tokens = std::min(capacity, bucket.tokens + rate * seconds);
  bucket.last_refill = std::max(bucket.last_refill, now);
}

/// Tokens that a request of the priority must leave in the shared bucket.
double MinTokens(const RootRateLimiterSettings& settings,
                 const ServiceBuckets& service,
                 uint32_t priority,
                 double capacity) {
  const auto rank = std::distance(service.guaranteed.begin(),
                                  service.guaranteed.find(priority));
  if (rank == 0) {
    // Only allows debt if there are less important requests to go before;
    // otherwise it would just enlarge a surge.
    return service.guaranteed.size() > 1 ? -capacity : 0;
  }
  return std::min(0.75, settings.reserve * static_cast<double>(rank)) *
         capacity;
}

/// One service that a request uses, with its buckets refilled.
struct ServiceDemand {
  ServiceBuckets* service = nullptr;
  double seconds = 0;
  double capacity = 0;
};

bool HasCapacity(const RootRateLimiterSettings& settings,
                 const ServiceDemand& demand,
                 uint32_t priority) {
  const TokenBucket& guaranteed_bucket =
      demand.service->guaranteed.at(priority);
  if (guaranteed_bucket.tokens >= demand.seconds) {
    return true;
  }
  return demand.service->shared.tokens - demand.seconds >=
         MinTokens(settings, *demand.service, priority, demand.capacity);
}

/// Adds a refused nested call to the known cost of the route: without it, the
/// refusals of the service would not limit requests of a route of which none
/// has been served yet.
void AddRefusedCall(RouteCost& route, const RootRequestEnd& end) {
  const double seconds = end.refused_slot_time > absl::ZeroDuration()
                             ? absl::ToDoubleSeconds(end.refused_slot_time)
                             : kDefaultCost;
  double& known = route.slot_seconds[std::string(end.refused_service)];
  known = std::max(known, seconds);
}

void TakeTokens(const ServiceDemand& demand, uint32_t priority) {
  TokenBucket& guaranteed_bucket = demand.service->guaranteed.at(priority);
  if (guaranteed_bucket.tokens >= demand.seconds) {
    guaranteed_bucket.tokens -= demand.seconds;
  }
  demand.service->shared.tokens = std::max(
      demand.service->shared.tokens - demand.seconds, -2 * demand.capacity);
}

}  // namespace

void OnAdmissionRateReport(RootRateLimiter& limiter,
                           absl::string_view service,
                           absl::string_view host,
                           const schema::GateLoad& load,
                           absl::Time now) {
  AdmissionRateReport& report =
      limiter.services[std::string(service)].reports[std::string(host)];
  report.factor = load.grant / kThousand;
  report.weight = std::max<uint32_t>(load.limit, 1);
  report.at = now;
}

void OnCostReport(RootRateLimiter& limiter,
                  absl::string_view route,
                  absl::Span<const schema::ServiceUse> use) {
  RouteCost& cost = limiter.routes[std::string(route)];
  const double weight =
      std::max(limiter.settings.cost_sample_weight, 1.0 / (cost.samples + 1));
  ++cost.samples;
  for (auto& [service, seconds] : cost.slot_seconds) {
    seconds *= 1 - weight;
  }
  for (const schema::ServiceUse& part : use) {
    cost.slot_seconds[part.service] +=
        weight * static_cast<double>(part.slot_us) / kMicrosecondsPerSecond;
  }
}

void OnPartialCostReport(RootRateLimiter& limiter,
                         absl::string_view route,
                         absl::Span<const schema::ServiceUse> use) {
  RouteCost& cost = limiter.routes[std::string(route)];
  for (const schema::ServiceUse& part : use) {
    const double seconds =
        static_cast<double>(part.slot_us) / kMicrosecondsPerSecond;
    const auto [known, is_new] =
        cost.slot_seconds.try_emplace(part.service, seconds);
    known->second += limiter.settings.cost_sample_weight *
                     std::max(0.0, seconds - known->second);
  }
}

void OnRootRequestEnded(RootRateLimiter& limiter, const RootRequestEnd& end) {
  RouteCost& cost = limiter.routes[std::string(end.route)];
  cost.running -= std::min<uint32_t>(cost.running, 1);
  const CapacityBackoffSettings& backoff = limiter.settings.backoff;
  if (!end.refused_service.empty()) {
    AddRefusedCall(cost, end);
    OnRootEnded(limiter.services[std::string(end.refused_service)].backoff,
                backoff, /*refused=*/true, end.admitted_at, end.now);
    return;
  }
  if (!end.served) {
    return;
  }
  for (const auto& [service, seconds] : cost.slot_seconds) {
    OnRootEnded(limiter.services[service].backoff, backoff, /*refused=*/false,
                end.admitted_at, end.now);
  }
}

double ServiceRateFactor(const RootRateLimiter& limiter,
                         absl::string_view service,
                         absl::Time now) {
  const auto found = limiter.services.find(service);
  return found == limiter.services.end()
             ? limiter.settings.default_factor
             : RateFactorAfterBackoff(limiter.settings, found->second, now);
}

double LowestBackoffFactor(const RootRateLimiter& limiter) {
  double lowest = 1;
  for (const auto& [name, service] : limiter.services) {
    lowest = std::min(lowest, service.backoff.factor);
  }
  return lowest;
}

size_t RoutesWithoutCost(const RootRateLimiter& limiter) {
  return static_cast<size_t>(
      absl::c_count_if(limiter.routes, [](const auto& route) {
        return route.second.requests > 0 && route.second.samples == 0;
      }));
}

bool NeedsCostSample(const RootRateLimiter& limiter, absl::string_view route) {
  const auto found = limiter.routes.find(route);
  return found == limiter.routes.end() ||
         found->second.samples < limiter.settings.initial_samples ||
         found->second.requests % limiter.settings.sample_interval == 0;
}

std::string AdmitRoot(RootRateLimiter& limiter,
                      const catalog::WorkerDirectory& directory,
                      const RootRequest& query) {
  const RootRateLimiterSettings& settings = limiter.settings;
  UpdateEntryNodes(limiter, directory);
  RouteCost& cost = limiter.routes[std::string(query.route)];
  ++cost.requests;
  // Right after a start all clients may arrive at once, before any cost was
  // reported.
  if (cost.samples == 0 && cost.running >= settings.initial_max_running) {
    return std::string(query.target);
  }
  std::vector<ServiceDemand> demands;
  std::string exhausted_service;
  for (const ServiceCost& use : CostsOf(cost, query.target)) {
    ServiceBuckets& service = limiter.services[use.service];
    UpdateSlots(service, use.service, directory);
    const double slots = service.slots > 0 ? service.slots : kNoLimit;
    const double rate = RateFactorAfterBackoff(settings, service, query.now) *
                        settings.target_load * slots / limiter.entry_nodes;
    const double capacity =
        std::max(rate * absl::ToDoubleSeconds(settings.burst), 2 * use.seconds);
    Refill(service.shared, rate, capacity, query.now);
    Refill(service.guaranteed[query.priority], rate * settings.guaranteed_share,
           std::max(capacity * settings.guaranteed_share, use.seconds),
           query.now);
    demands.push_back({&service, use.seconds, capacity});
    if (exhausted_service.empty() &&
        !HasCapacity(settings, demands.back(), query.priority)) {
      exhausted_service = use.service;
    }
  }
  if (!exhausted_service.empty() &&
      !TryProbe(limiter.services[exhausted_service].backoff, settings.backoff,
                limiter.entry_nodes, query.now)) {
    return exhausted_service;
  }
  for (const ServiceDemand& demand : demands) {
    TakeTokens(demand, query.priority);
  }
  ++cost.running;
  return "";
}

}  // namespace boragepaddle::routing
