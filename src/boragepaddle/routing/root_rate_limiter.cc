#include "boragepaddle/routing/root_rate_limiter.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "absl/container/btree_set.h"
#include "absl/types/optional.h"

namespace boragepaddle::routing {

namespace {

constexpr double kThousand = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Assumed slot time per request before the first sample, in seconds.
constexpr double kDefaultCost = 0.05;

/// Slot count for services without listed workers, which are not limited here;
/// they fail at the choice of a worker.
constexpr double kNoLimit = 1e9;

/// Steps of the reserve by which priorities begin lower with accounts. With
/// one, accounts of a low priority that are below their fair share were served
/// 0.85 instead of 0.91 over 80 entry nodes.
constexpr double kAccountSteps = 2;

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

/// One service that a request uses, with its buckets refilled.
struct ServiceDemand {
  ServiceBuckets* service = nullptr;
  double seconds = 0;
  double capacity = 0;
  /// Accounts are in use at the service.
  bool has_accounts = false;
  /// As returned by ReserveShare.
  absl::optional<double> reserve_share = absl::nullopt;
};

/// Tokens that a request of the priority with this rank must leave in the
/// shared bucket.
double MinTokens(const RootRateLimiterSettings& settings,
                 const ServiceDemand& demand,
                 size_t rank) {
  if (rank == 0) {
    // Only allows debt if there are less important requests, or those of
    // accounts that had more, to go before; otherwise it would just enlarge a
    // surge.
    const bool is_last = demand.service->guaranteed.size() == 1;
    return is_last && !demand.reserve_share ? 0 : -demand.capacity;
  }
  // With accounts, all but the most important priority begin lower, so that
  // there is room for an order among accounts.
  const double steps =
      static_cast<double>(rank) - (demand.has_accounts ? kAccountSteps : 0);
  return std::min(0.75, settings.reserve * steps) * demand.capacity;
}

/// Tokens that a request must leave in the shared bucket, given the share of
/// its priority's reserve that it must leave to other accounts.
double MinSharedTokens(const RootRateLimiterSettings& settings,
                       const ServiceDemand& demand,
                       uint32_t priority,
                       absl::optional<double> reserve_share) {
  const ServiceBuckets& service = *demand.service;
  const auto rank = static_cast<size_t>(std::distance(
      service.guaranteed.begin(), service.guaranteed.find(priority)));
  const double own = MinTokens(settings, demand, rank);
  if (!reserve_share) {
    return own;
  }
  // Never more than what a less important priority leaves, nor than what a full
  // bucket has.
  const double full = demand.capacity - demand.seconds;
  const double next =
      rank + 1 < service.guaranteed.size()
          ? std::min(full, MinTokens(settings, demand, rank + 1))
          : full;
  return own + *reserve_share * std::max(0.0, next - own);
}

/// With accounts, the guaranteed bucket of a priority holds a second request,
/// which is left to accounts that had less than others.
double MinGuaranteedTokens(const ServiceDemand& demand,
                           absl::optional<double> reserve_share) {
  return demand.seconds * (1 + reserve_share.value_or(0));
}

bool HasCapacity(const RootRateLimiterSettings& settings,
                 const ServiceDemand& demand,
                 uint32_t priority,
                 absl::optional<double> reserve_share) {
  const TokenBucket& guaranteed_bucket =
      demand.service->guaranteed.at(priority);
  if (guaranteed_bucket.tokens >= MinGuaranteedTokens(demand, reserve_share)) {
    return true;
  }
  return demand.service->shared.tokens - demand.seconds >=
         MinSharedTokens(settings, demand, priority, reserve_share);
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
  if (guaranteed_bucket.tokens >=
      MinGuaranteedTokens(demand, demand.reserve_share)) {
    guaranteed_bucket.tokens -= demand.seconds;
  }
  demand.service->shared.tokens = std::max(
      demand.service->shared.tokens - demand.seconds, -2 * demand.capacity);
}

/// True if any request of the service named an account recently.
bool HasAccounts(const ServiceBuckets& service) {
  return absl::c_any_of(service.accounts, [](const auto& shares) {
    return !shares.second.accounts.empty();
  });
}

/// Adds the request to the recent demand of its account and sets the reserve
/// that it must leave to the other accounts. Requests without an account count
/// only beside requests with one.
void ApplyAccount(const RootRateLimiterSettings& settings,
                  const RootRequest& query,
                  ServiceDemand& demand) {
  demand.has_accounts = !query.account.empty() || HasAccounts(*demand.service);
  if (!demand.has_accounts) {
    return;
  }
  AccountShares& shares = demand.service->accounts[query.priority];
  // Before its own demand is added: it is not refused yet, and would look like
  // a shortage at a node with few requests.
  demand.reserve_share = ReserveShare(shares, settings.accounts, query.account,
                                      demand.seconds, query.now);
  if (!query.asked_before) {
    RecordWanted(shares, settings.accounts, query.account, demand.seconds,
                 query.now);
  }
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

uint64_t EvictedAccounts(const RootRateLimiter& limiter) {
  uint64_t evicted = 0;
  for (const auto& [name, service] : limiter.services) {
    for (const auto& [priority, shares] : service.accounts) {
      evicted += shares.evicted;
    }
  }
  return evicted;
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

RootDecision DecideRoot(RootRateLimiter& limiter,
                        const catalog::WorkerDirectory& directory,
                        const RootRequest& query) {
  const RootRateLimiterSettings& settings = limiter.settings;
  UpdateEntryNodes(limiter, directory);
  RouteCost& cost = limiter.routes[std::string(query.route)];
  ++cost.requests;
  // Right after a start all clients may arrive at once, before any cost was
  // reported.
  if (cost.samples == 0 && cost.running >= settings.initial_max_running) {
    return {std::string(query.target)};
  }
  std::vector<ServiceDemand> demands;
  RootDecision refusal;
  for (const ServiceCost& use : CostsOf(cost, query.target)) {
    ServiceBuckets& service = limiter.services[use.service];
    UpdateSlots(service, use.service, directory);
    const double slots = service.slots > 0 ? service.slots : kNoLimit;
    const double rate = RateFactorAfterBackoff(settings, service, query.now) *
                        settings.target_load * slots / limiter.entry_nodes;
    const double capacity =
        std::max(rate * absl::ToDoubleSeconds(settings.burst), 2 * use.seconds);
    ServiceDemand& demand =
        demands.emplace_back(ServiceDemand{&service, use.seconds, capacity});
    ApplyAccount(settings, query, demand);
    const double min_guaranteed =
        demand.has_accounts ? 2 * use.seconds : use.seconds;
    Refill(service.shared, rate, capacity, query.now);
    TokenBucket& guaranteed = service.guaranteed[query.priority];
    const double share =
        std::min(settings.guaranteed_share,
                 settings.max_guaranteed_sum /
                     static_cast<double>(service.guaranteed.size()));
    Refill(guaranteed, rate * share, std::max(capacity * share, min_guaranteed),
           query.now);
    if (refusal.limiting_service.empty() &&
        !HasCapacity(settings, demand, query.priority, demand.reserve_share)) {
      refusal.limiting_service = use.service;
      refusal.over_fair_share =
          demand.reserve_share > 0 &&
          HasCapacity(settings, demand, query.priority, /*reserve_share=*/0.0);
    }
  }
  if (!refusal.limiting_service.empty() &&
      !TryProbe(limiter.services[refusal.limiting_service].backoff,
                settings.backoff, limiter.entry_nodes, query.now)) {
    limiter.account_refusals += refusal.over_fair_share ? 1 : 0;
    return refusal;
  }
  for (const ServiceDemand& demand : demands) {
    TakeTokens(demand, query.priority);
    if (demand.has_accounts) {
      RecordAdmitted(demand.service->accounts[query.priority],
                     settings.accounts, query.account, demand.seconds,
                     query.now);
    }
  }
  ++cost.running;
  return {};
}

std::string AdmitRoot(RootRateLimiter& limiter,
                      const catalog::WorkerDirectory& directory,
                      const RootRequest& query) {
  return DecideRoot(limiter, directory, query).limiting_service;
}

}  // namespace boragepaddle::routing
