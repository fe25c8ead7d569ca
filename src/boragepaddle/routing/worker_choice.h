#ifndef BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_
#define BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Settings of the choice of a worker.
struct WorkerChoiceSettings {
  /// Load up to which workers of the node's own availability zone are
  /// preferred.
  double local_load_threshold = 0.7;
  /// Mean call time, relative to all workers of the service, up to which they
  /// are preferred.
  double local_time_threshold = 1.2;
  /// Load added for a call to another zone.
  double cross_zone_penalty = 0.15;
  /// Back-off after a node was unreachable, and after it refused a call because
  /// it was full.
  absl::Duration unreachable_back_off = absl::Milliseconds(500);
  absl::Duration full_back_off = absl::Milliseconds(30);
  /// Age at which a reported load no longer counts; its weight falls linearly.
  absl::Duration report_ttl = absl::Seconds(1);
  /// Load added for a worker all of whose calls fail.
  double failure_penalty = 2.0;
  /// Weight of one answer in the smoothed failure rate.
  double failure_weight = 0.05;
  /// Share of its slots that a worker gets at the start of its warm-up.
  double warm_up_initial_share = 0.3;
  /// Use the index and few random candidates for all services; otherwise only
  /// for those whose workers report a speed.
  bool use_index = false;
  /// Candidates of the own zone, and of all zones, per choice by the index.
  uint32_t candidates = 2;
  /// Probability, beyond one half, with which the candidate with the lower cost
  /// is chosen, per unit of the difference. Many nodes act on the same reports
  /// before their effect shows, so with a larger gain, or with the lowest cost
  /// always chosen, workers are overrun in turn (docs/design/even-load.md).
  double candidate_gain = 0.5;
  /// Time after the last report with a speed for which a service counts as
  /// reporting it.
  absl::Duration speed_report_ttl = absl::Seconds(10);
};

/// Load of one worker as known to this node.
struct WorkerLoad {
  /// Calls of this node in flight: now, and at the last report.
  uint32_t in_flight = 0;
  uint32_t in_flight_at_report = 0;
  schema::GateLoad reported;
  absl::Time reported_at = absl::InfinitePast();
  absl::Time back_off_until = absl::InfinitePast();
  /// The worker's node announced that it takes no new calls.
  bool refusing = false;
  /// Smoothed share of calls that failed.
  double failure_rate = 0;
};

/// Worker loads by instance id.
struct LoadTable {
  WorkerChoiceSettings settings;
  absl::flat_hash_map<std::string, WorkerLoad> workers;
  /// Time of the last report with a speed, by service.
  absl::flat_hash_map<std::string, absl::Time> speed_reported_at;
};

void OnCallSent(LoadTable& table, absl::string_view instance);

/// Records the end of a call with a load report. `failed` is true if the worker
/// failed the call.
void OnCallEnded(LoadTable& table,
                 absl::string_view instance,
                 const schema::GateLoad& load,
                 bool failed,
                 absl::Time now);

/// Records the end of a call without a load report.
void OnCallLost(LoadTable& table, absl::string_view instance);

/// Records that the node of the worker could not be reached.
void OnUnreachable(LoadTable& table,
                   absl::string_view instance,
                   absl::Time now);

/// Records that the node of the worker refused a call because it was full.
void OnWorkerFull(LoadTable& table, absl::string_view instance, absl::Time now);

void OnLoadNotice(LoadTable& table,
                  absl::string_view instance,
                  const schema::LoadNotice& notice,
                  absl::Time now);

/// Records that a worker of the service reported its load; without a speed in
/// the report, nothing changes.
void OnSpeedReport(LoadTable& table,
                   absl::string_view service,
                   const schema::GateLoad& load,
                   absl::Time now);

/// True if workers of the service are chosen by the index.
bool UsesIndex(const LoadTable& table,
               absl::string_view service,
               absl::Time now);

/// Removes workers that are no longer listed and have no calls in flight.
void RemoveUnlistedWorkers(LoadTable& table,
                           const catalog::WorkerDirectory& directory);

/// Inputs of the choice of a worker.
struct WorkerQuery {
  absl::string_view service;
  absl::string_view availability_zone;
  /// Instances to skip.
  absl::Span<const std::string> exclude;
  /// Skip workers that are known to be full or unreachable.
  bool only_available = false;
  absl::Time now;
  uint64_t random = 0;
};

/// Chooses the worker with the lowest load; prefers the own availability zone
/// while it has capacity. Null if there is none.
const catalog::WorkerEntry* ChooseWorker(
    const LoadTable& table,
    const catalog::WorkerDirectory& directory,
    const WorkerQuery& query);

/// Last rate limit that the worker's node reported, in calls per 1,000 seconds;
/// 0 if none.
uint32_t KnownRateLimit(const LoadTable& table, absl::string_view instance);

/// Mean time of a call at the usable workers of the service; 0 if unknown.
absl::Duration MeanCallTime(const LoadTable& table,
                            const catalog::WorkerDirectory& directory,
                            absl::string_view service);

/// True if the worker is neither refusing nor in a back-off.
bool IsAvailable(const LoadTable& table,
                 const catalog::WorkerEntry& entry,
                 absl::Time now);

/// Last report of the worker; null if there is none.
const WorkerLoad* FindLoad(const LoadTable& table, absl::string_view instance);

/// Expected load relative to the worker's slots; 1 is full. As a report gets
/// older, `typical_load`, the load from other nodes that is assumed of a worker
/// without a report, replaces what it says.
double EstimatedLoad(const LoadTable& table,
                     const catalog::WorkerEntry& entry,
                     absl::Time now,
                     double typical_load = 0);

/// Share of a report's weight that is left at `now`, 0 to 1.
double ReportWeight(const WorkerChoiceSettings& settings,
                    const WorkerLoad& load,
                    absl::Time now);

/// Load from other nodes according to the last report, relative to the worker's
/// slots, without regard to the age of the report.
double ReportedLoadOfOthers(const WorkerLoad& load,
                            const catalog::WorkerEntry& entry);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_WORKER_CHOICE_H_
