#include "boragepaddle/routing/root_gate.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"

namespace boragepaddle::routing {

namespace {

constexpr double kThousand = 1000;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Slot time of a route before the first sample, in seconds.
constexpr double kUnknownUse = 0.05;

/// A service of which no worker is listed is left to the choice of a worker.
constexpr double kNoLimit = 1e9;

struct Use {
  std::string service;
  double seconds = 0;
};

std::vector<Use> UseOf(const RouteUse& route, absl::string_view target) {
  std::vector<Use> use;
  for (const auto& [service, seconds] : route.slot_seconds) {
    use.push_back({service, seconds});
  }
  if (!route.slot_seconds.contains(target)) {
    use.push_back({std::string(target), kUnknownUse});
  }
  return use;
}

void CountEntries(RootGate& gate, const catalog::WorkerDirectory& directory) {
  if (gate.entries_generation == directory.generation) {
    return;
  }
  gate.entries_generation = directory.generation;
  absl::btree_set<absl::string_view> hosts;
  for (const auto& [instance, entry] : directory.entries) {
    hosts.insert(entry.host);
  }
  gate.entries = std::max<double>(1, static_cast<double>(hosts.size()));
}

void CountSlots(ServiceAllowance& service,
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

/// Mean factor of the workers, those without a fresh report at the default.
double GrantOf(const RootGateSettings& settings,
               const ServiceAllowance& service,
               absl::Time now) {
  double factor = 0;
  double weight = 0;
  for (const auto& [host, report] : service.reports) {
    if (now - report.at < settings.report_life) {
      factor += report.factor * report.weight;
      weight += report.weight;
    }
  }
  const double unreported = std::max(0.0, service.slots - weight);
  const double total = weight + unreported;
  return total > 0 ? (factor + unreported * settings.default_grant) / total
                   : settings.default_grant;
}

void Fill(Allowance& allowance, double rate, double most, absl::Time now) {
  if (allowance.filled == absl::InfinitePast()) {
    allowance.level = most;
    allowance.filled = now;
    return;
  }
  // Requests that waited may ask as of an earlier time than the last one.
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - allowance.filled));
  allowance.level = std::min(most, allowance.level + rate * seconds);
  allowance.filled = std::max(allowance.filled, now);
}

/// Level that a request of the priority must leave.
double FloorOf(const RootGateSettings& settings,
               const ServiceAllowance& service,
               uint32_t priority,
               double most) {
  const auto rank =
      std::distance(service.minimum.begin(), service.minimum.find(priority));
  if (rank == 0) {
    // Debt is for going before others; without others it would only make a
    // surge larger.
    return service.minimum.size() > 1 ? -most : 0;
  }
  return std::min(0.75, settings.reserve * static_cast<double>(rank)) * most;
}

/// One service that a request uses, with its allowances filled.
struct Demand {
  ServiceAllowance* service = nullptr;
  double seconds = 0;
  double most = 0;
};

bool HasRoom(const RootGateSettings& settings,
             const Demand& demand,
             uint32_t priority) {
  const Allowance& own = demand.service->minimum.at(priority);
  if (own.level >= demand.seconds) {
    return true;
  }
  return demand.service->all.level - demand.seconds >=
         FloorOf(settings, *demand.service, priority, demand.most);
}

// Right after a start nothing is known of the services below, and all clients
// come at once.
bool IsUnknown(const RootGateSettings& settings, const RouteUse& route) {
  return route.samples == 0 && route.ended < settings.first_ended;
}

void Take(const Demand& demand, uint32_t priority) {
  Allowance& own = demand.service->minimum.at(priority);
  if (own.level >= demand.seconds) {
    own.level -= demand.seconds;
  }
  demand.service->all.level =
      std::max(demand.service->all.level - demand.seconds, -2 * demand.most);
}

}  // namespace

void OnGrant(RootGate& gate,
             absl::string_view service,
             absl::string_view host,
             const schema::GateLoad& load,
             absl::Time now) {
  GrantReport& report =
      gate.services[std::string(service)].reports[std::string(host)];
  report.factor = load.grant / kThousand;
  report.weight = std::max<uint32_t>(load.limit, 1);
  report.at = now;
}

void OnUse(RootGate& gate,
           absl::string_view route,
           absl::Span<const schema::ServiceUse> use) {
  RouteUse& known = gate.routes[std::string(route)];
  const double weight =
      std::max(gate.settings.use_weight, 1.0 / (known.samples + 1));
  ++known.samples;
  for (auto& [service, seconds] : known.slot_seconds) {
    seconds *= 1 - weight;
  }
  for (const schema::ServiceUse& part : use) {
    known.slot_seconds[part.service] +=
        weight * static_cast<double>(part.slot_us) / kMicrosecondsPerSecond;
  }
}

void OnRootEnded(RootGate& gate, absl::string_view route) {
  RouteUse& known = gate.routes[std::string(route)];
  known.running -= std::min<uint32_t>(known.running, 1);
  ++known.ended;
}

bool WantsUse(const RootGate& gate, absl::string_view route) {
  const auto found = gate.routes.find(route);
  return found == gate.routes.end() ||
         found->second.samples < gate.settings.first_samples ||
         found->second.requests % gate.settings.sample_every == 0;
}

std::string AdmitRoot(RootGate& gate,
                      const catalog::WorkerDirectory& directory,
                      const RootQuery& query) {
  const RootGateSettings& settings = gate.settings;
  CountEntries(gate, directory);
  RouteUse& known = gate.routes[std::string(query.route)];
  ++known.requests;
  if (IsUnknown(settings, known) && known.running >= settings.first_running) {
    return std::string(query.target);
  }
  std::vector<Demand> demands;
  std::string full;
  for (const Use& use : UseOf(known, query.target)) {
    ServiceAllowance& service = gate.services[use.service];
    CountSlots(service, use.service, directory);
    const double slots = service.slots > 0 ? service.slots : kNoLimit;
    const double rate = GrantOf(settings, service, query.now) *
                        settings.target * slots / gate.entries;
    const double most =
        std::max(rate * absl::ToDoubleSeconds(settings.burst), 2 * use.seconds);
    Fill(service.all, rate, most, query.now);
    Fill(service.minimum[query.priority], rate * settings.minimum_share,
         std::max(most * settings.minimum_share, use.seconds), query.now);
    demands.push_back({&service, use.seconds, most});
    if (full.empty() && !HasRoom(settings, demands.back(), query.priority)) {
      full = use.service;
    }
  }
  if (!full.empty()) {
    return full;
  }
  for (const Demand& demand : demands) {
    Take(demand, query.priority);
  }
  ++known.running;
  return "";
}

}  // namespace boragepaddle::routing
