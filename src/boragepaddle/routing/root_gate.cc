#include "boragepaddle/routing/root_gate.h"

#include <algorithm>
#include <cmath>

namespace boragepaddle::routing {

namespace {

constexpr double kThousand = 1000;

/// Assumed slot time of a route before the first sample, in seconds.
constexpr double kUnknownUse = 0.05;

void Decay(ServiceDemand& demand,
           const RootGateSettings& settings,
           absl::Time now) {
  if (demand.updated != absl::InfinitePast()) {
    const double factor = std::exp(
        -absl::FDivDuration(now - demand.updated, settings.demand_memory));
    for (auto& [priority, amount] : demand.by_priority) {
      amount *= factor;
    }
  }
  demand.updated = now;
}

/// Admitted share of a priority if `held_back` of the demand is refused, the
/// least important first.
double AdmittedShare(const ServiceDemand& demand,
                     const RootGateSettings& settings,
                     uint32_t priority,
                     double held_back) {
  double total = 0;
  for (const auto& [other, amount] : demand.by_priority) {
    total += amount;
  }
  double to_refuse = held_back * total;
  const double least = settings.least_part * (1 - held_back);
  for (auto other = demand.by_priority.rbegin();
       other != demand.by_priority.rend(); ++other) {
    const double amount = other->second;
    const double refusable = amount * (1 - least);
    const double refused = std::min(refusable, to_refuse);
    if (other->first == priority) {
      return amount <= 0 ? 1 - held_back : 1 - refused / amount;
    }
    to_refuse -= refused;
  }
  return 1 - held_back;
}

/// Use of the route: what was learned, and the service that it goes to.
std::vector<std::pair<std::string, double>> UseOf(const RouteUse& route,
                                                  absl::string_view target) {
  std::vector<std::pair<std::string, double>> use(route.slot_seconds.begin(),
                                                  route.slot_seconds.end());
  if (!route.slot_seconds.contains(target)) {
    use.emplace_back(std::string(target), kUnknownUse);
  }
  return use;
}

}  // namespace

void OnHeldBack(RootGate& gate,
                absl::string_view service,
                absl::string_view host,
                const schema::GateLoad& load,
                absl::Time now) {
  HeldBackReport& report =
      gate.reports[std::string(service)][std::string(host)];
  report.share = load.pressure / kThousand;
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
        weight * static_cast<double>(part.slot_us) / 1e6;
  }
}

bool WantsUse(const RootGate& gate, absl::string_view route) {
  const auto found = gate.routes.find(route);
  return found == gate.routes.end() ||
         found->second.samples < gate.settings.first_samples ||
         found->second.requests % gate.settings.sample_every == 0;
}

double ServiceHeldBack(const RootGate& gate,
                       absl::string_view service,
                       absl::Time now) {
  const auto found = gate.reports.find(service);
  if (found == gate.reports.end()) {
    return 0;
  }
  double share = 0;
  double weight = 0;
  for (const auto& [host, report] : found->second) {
    if (now - report.at < gate.settings.report_life) {
      share += report.share * report.weight;
      weight += report.weight;
    }
  }
  return weight > 0 ? share / weight : 0;
}

bool AdmitRoot(RootGate& gate,
               absl::string_view route,
               absl::string_view target,
               uint32_t priority,
               absl::Time now,
               std::string* service) {
  RouteUse& known = gate.routes[std::string(route)];
  ++known.requests;
  double admitted = 1;
  for (const auto& [used, seconds] : UseOf(known, target)) {
    ServiceDemand& demand = gate.demand[used];
    Decay(demand, gate.settings, now);
    demand.by_priority[priority] += seconds;
    const double held_back = ServiceHeldBack(gate, used, now);
    if (held_back <= 0) {
      continue;
    }
    const double share =
        AdmittedShare(demand, gate.settings, priority, held_back);
    if (share < admitted) {
      admitted = share;
      *service = used;
    }
  }
  if (admitted >= 1) {
    return true;
  }
  known.credit += admitted;
  if (known.credit >= 1) {
    known.credit -= 1;
    return true;
  }
  return false;
}

}  // namespace boragepaddle::routing
