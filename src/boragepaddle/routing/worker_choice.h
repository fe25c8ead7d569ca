#ifndef BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_
#define BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Weights of the choice of a worker.
struct WorkerChoiceSettings {
  /// Load up to which workers of the own availability zone go first.
  double local_load_threshold = 0.7;
  /// Mean time, relative to that of all workers of the service, up to which
  /// they do.
  double local_time_threshold = 1.2;
  /// Load that one zone crossing counts as.
  double cross_zone_penalty = 0.15;
  /// Pause after a node could not be reached or refused for lack of room.
  absl::Duration unreachable_back_off = absl::Milliseconds(500);
  absl::Duration full_back_off = absl::Milliseconds(30);
  /// Age after which a reported load no longer counts in full.
  absl::Duration report_ttl = absl::Seconds(1);
  /// Load that a worker with all answers failing counts as, on top of its own.
  double failure_penalty = 2.0;
  /// Weight of one answer in the share of failures.
  double failure_weight = 0.05;
  /// Share of a cold worker's slots that is used at the start.
  double warm_up_initial_share = 0.3;
};

/// What this node knows of the load of one worker.
struct WorkerLoad {
  /// Calls of this node in flight, now and when the last report came.
  uint32_t in_flight = 0;
  uint32_t in_flight_at_report = 0;
  schema::GateLoad reported;
  absl::Time reported_at = absl::InfinitePast();
  absl::Time back_off_until = absl::InfinitePast();
  /// The node said that it takes no new calls.
  bool refusing = false;
  /// Smoothed share of calls that failed.
  double failure_rate = 0;
};

/// Loads by instance id.
struct LoadTable {
  WorkerChoiceSettings settings;
  absl::btree_map<std::string, WorkerLoad> workers;
};

void OnCallSent(LoadTable& table, absl::string_view instance);

/// A call ended with a report; `failed` is true if its answer was a failure of
/// the worker.
void OnCallEnded(LoadTable& table,
                 absl::string_view instance,
                 const schema::GateLoad& load,
                 bool failed,
                 absl::Time now);

/// A call ended without a report.
void OnCallLost(LoadTable& table, absl::string_view instance);

/// The node of the worker could not be reached.
void OnUnreachable(LoadTable& table,
                   absl::string_view instance,
                   absl::Time now);

/// The node of the worker had no room.
void OnWorkerFull(LoadTable& table, absl::string_view instance, absl::Time now);

void OnLoadNotice(LoadTable& table,
                  absl::string_view instance,
                  const schema::LoadNotice& notice,
                  absl::Time now);

/// Forgets workers that are no longer listed and have no calls in flight.
void RemoveUnlistedWorkers(LoadTable& table,
                           const catalog::WorkerDirectory& directory);

/// What a choice depends on.
struct WorkerQuery {
  absl::string_view service;
  absl::string_view availability_zone;
  /// Instances that are not to be chosen.
  absl::Span<const std::string> exclude;
  /// Only workers that are not known to be full or out of reach.
  bool only_available = false;
  absl::Time now;
  uint64_t random = 0;
};

/// Worker with the lowest load, the own availability zone first while it has
/// room. Null if there is none.
const catalog::WorkerEntry* ChooseWorker(
    const LoadTable& table,
    const catalog::WorkerDirectory& directory,
    const WorkerQuery& query);

/// Expected use of the worker's limit; 1 is full.
double EstimatedLoad(const LoadTable& table,
                     const catalog::WorkerEntry& entry,
                     absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_
