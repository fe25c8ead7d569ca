#ifndef BORAGEPADDLE_ROUTING_ROOT_GATE_H_
#define BORAGEPADDLE_ROUTING_ROOT_GATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Gate for root requests at their entry.
struct RootGateSettings {
  /// Weight of one sample in what a route uses of a service.
  double use_weight = 0.05;
  /// Time in which counted demand falls to a third.
  absl::Duration demand_memory = absl::Seconds(2);
  /// A held-back share counts for this long after its report.
  absl::Duration report_life = absl::Seconds(1);
  /// The least important requests keep this part of the share that is admitted
  /// over all, so that no kind of request ends altogether.
  double least_part = 0.35;
  /// The first requests of a route all report what they use, later ones one
  /// in this many.
  uint32_t first_samples = 16;
  uint32_t sample_every = 16;
};

/// What requests of a route use, and how many were admitted.
struct RouteUse {
  /// Slot time per request, in seconds, by service.
  absl::btree_map<std::string, double> slot_seconds;
  uint32_t samples = 0;
  uint64_t requests = 0;
  /// Admitted shares add up here; a request is admitted at 1.
  double credit = 0.5;
};

/// Demand of root requests for one service, by priority, decaying.
struct ServiceDemand {
  absl::btree_map<uint32_t, double> by_priority;
  absl::Time updated = absl::InfinitePast();
};

/// Last report of one worker.
struct HeldBackReport {
  double share = 0;
  double weight = 1;
  absl::Time at = absl::InfinitePast();
};

struct RootGate {
  RootGateSettings settings;
  absl::btree_map<std::string, RouteUse> routes;
  absl::btree_map<std::string, ServiceDemand> demand;
  /// By service and host of the worker.
  absl::btree_map<std::string, absl::btree_map<std::string, HeldBackReport>>
      reports;
};

/// A worker's node reported the share to hold back.
void OnHeldBack(RootGate& gate,
                absl::string_view service,
                absl::string_view host,
                const schema::GateLoad& load,
                absl::Time now);

/// A request completed and told what it used.
void OnUse(RootGate& gate,
           absl::string_view route,
           absl::Span<const schema::ServiceUse> use);

/// True if the next request of the route is to tell what it uses.
bool WantsUse(const RootGate& gate, absl::string_view route);

/// Share to hold back for the service, over all its workers.
double ServiceHeldBack(const RootGate& gate,
                       absl::string_view service,
                       absl::Time now);

/// Counts a root request and decides whether it may start. On false, `service`
/// names the service that has no room.
bool AdmitRoot(RootGate& gate,
               absl::string_view route,
               absl::string_view target,
               uint32_t priority,
               absl::Time now,
               std::string* service);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROOT_GATE_H_
