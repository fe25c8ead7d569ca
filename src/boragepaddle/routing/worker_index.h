#ifndef BORAGEPADDLE_ROUTING_WORKER_INDEX_H_
#define BORAGEPADDLE_ROUTING_WORKER_INDEX_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/routing/worker_choice.h"

namespace boragepaddle::routing {

/// Usable workers of one service.
struct IndexedService {
  /// Workers of all zones, and by zone. They point into the directory.
  std::vector<const catalog::WorkerEntry*> all;
  absl::flat_hash_map<std::string, std::vector<const catalog::WorkerEntry*>>
      by_zone;
  /// Averages over the reports of recent candidates; 0 if unknown: load from
  /// other nodes relative to the slots, mean call time, machine speed.
  double typical_load = 0;
  double typical_call_us = 0;
  double typical_speed = 0;
};

/// Workers by service and availability zone, so that the cost of a choice does
/// not depend on their number.
struct WorkerIndex {
  /// Generation of the directory that the index was built from.
  absl::optional<uint64_t> generation;
  absl::flat_hash_map<std::string, IndexedService> services;
};

/// Rebuilds the index if the directory has changed. Must be called before the
/// index is used.
void UpdateIndex(WorkerIndex& index, const catalog::WorkerDirectory& directory);

/// Chooses a worker among few random candidates by their load, as ChooseWorker
/// does among all. Null if no worker qualifies; with more workers than are
/// examined, also if none of those does.
const catalog::WorkerEntry* ChooseIndexedWorker(const LoadTable& table,
                                                WorkerIndex& index,
                                                const WorkerQuery& query);

/// Chooses by the index where the service calls for it, otherwise by
/// ChooseWorker.
const catalog::WorkerEntry* ChooseWorkerForService(
    const LoadTable& table,
    const catalog::WorkerDirectory& directory,
    WorkerIndex& index,
    const WorkerQuery& query);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_WORKER_INDEX_H_
