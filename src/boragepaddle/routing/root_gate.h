#ifndef BORAGEPADDLE_ROUTING_ROOT_GATE_H_
#define BORAGEPADDLE_ROUTING_ROOT_GATE_H_

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
struct RootGateSettings {
  /// Weight of one sample in what a route uses of a service.
  double use_weight = 0.1;
  /// The first requests of a route all report what they use, later ones one
  /// in this many.
  uint32_t first_samples = 16;
  uint32_t sample_every = 3;
  /// Load of a service up to which root requests are admitted.
  double target = 0.92;
  /// Time over which unused allowance is kept, and up to which the most
  /// important requests may run into debt.
  absl::Duration burst = absl::Milliseconds(150);
  /// Share of the allowance that is kept back from each lower priority.
  double reserve = 0.25;
  /// Share of the allowance that each priority has for itself, so that no kind
  /// of request ends altogether.
  double minimum_share = 0.06;
  /// Requests of a route that may run at once while nothing is known of what
  /// they use, and the number of ended ones after which that no longer holds.
  uint32_t first_running = 8;
  uint32_t first_ended = 32;
  /// Reports count for this long.
  absl::Duration report_life = absl::Seconds(1);
  /// Factor for workers without a report.
  double default_grant = 1.35;
};

/// What requests of a route use.
struct RouteUse {
  /// Slot time per request, in seconds, by service.
  absl::btree_map<std::string, double> slot_seconds;
  uint32_t samples = 0;
  uint64_t requests = 0;
  /// Admitted requests that have not ended, and that have.
  uint32_t running = 0;
  uint64_t ended = 0;
};

/// Allowance of slot time that refills at a steady rate.
struct Allowance {
  /// Slot time that may be used now, in seconds.
  double level = 0;
  absl::Time filled = absl::InfinitePast();
};

/// Last report of one worker.
struct GrantReport {
  double factor = 1;
  double weight = 1;
  absl::Time at = absl::InfinitePast();
};

/// Allowances for one service.
struct ServiceAllowance {
  Allowance all;
  /// By priority; priorities that were seen.
  absl::btree_map<uint32_t, Allowance> minimum;
  /// By host of the worker.
  absl::btree_map<std::string, GrantReport> reports;
  /// Slots of the service that are in use, and the directory generation that
  /// they were counted for.
  double slots = 0;
  uint64_t generation = 0;
};

struct RootGate {
  RootGateSettings settings;
  absl::btree_map<std::string, RouteUse> routes;
  /// A map whose values stay in place when others are added.
  std::map<std::string, ServiceAllowance, std::less<>> services;
  /// Entries that share the capacity of a service.
  double entries = 1;
  uint64_t entries_generation = 0;
};

/// A worker's node reported its grant.
void OnGrant(RootGate& gate,
             absl::string_view service,
             absl::string_view host,
             const schema::GateLoad& load,
             absl::Time now);

/// A request completed and told what it used.
void OnUse(RootGate& gate,
           absl::string_view route,
           absl::Span<const schema::ServiceUse> use);

/// An admitted request ended.
void OnRootEnded(RootGate& gate, absl::string_view route);

/// True if the next request of the route is to tell what it uses.
bool WantsUse(const RootGate& gate, absl::string_view route);

/// A root request that asks to start.
struct RootQuery {
  absl::string_view route;
  /// Service that the request goes to.
  absl::string_view target;
  uint32_t priority = 0;
  absl::Time now;
};

/// Decides whether a root request may start, and takes its slot time from the
/// allowances. Empty if it may; else the service that has no room. OnRootEnded
/// follows for each admitted request.
std::string AdmitRoot(RootGate& gate,
                      const catalog::WorkerDirectory& directory,
                      const RootQuery& query);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROOT_GATE_H_
