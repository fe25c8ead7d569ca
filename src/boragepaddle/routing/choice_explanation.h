#ifndef BORAGEPADDLE_ROUTING_CHOICE_EXPLANATION_H_
#define BORAGEPADDLE_ROUTING_CHOICE_EXPLANATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/routing/worker_index.h"

namespace boragepaddle::routing {

/// Why a worker is not a candidate.
enum class Exclusion {
  kNone,
  /// It is in the query's list of workers to skip.
  kTried,
  kLeaving,
  /// A later worker has its address.
  kSuperseded,
  /// Its node announced that it takes no new calls.
  kRefusing,
  /// It was full or unreachable a moment ago.
  kBackOff,
};

absl::string_view ToString(Exclusion exclusion);

/// One worker of the service in a choice.
struct ExplainedWorker {
  std::string instance;
  std::string availability_zone;
  /// As in EstimatedLoad.
  double load = 0;
  /// Infinite without a report.
  absl::Duration report_age = absl::InfiniteDuration();
  /// As in GateLoad.
  uint32_t speed_percent = 0;
  Exclusion exclusion = Exclusion::kNone;
};

/// A choice of a worker with what it was based on.
struct ChoiceExplanation {
  /// Chosen by the index rather than by the scan.
  bool by_index = false;
  /// All listed workers of the service.
  std::vector<ExplainedWorker> workers;
  /// Empty if no worker qualifies.
  std::string chosen;
};

/// Explains what ChooseWorkerForService chooses for the query. Its cost grows
/// with the number of workers. The caller's index is copied, since a choice
/// updates its averages.
ChoiceExplanation ExplainChoice(const LoadTable& table,
                                const catalog::WorkerDirectory& directory,
                                WorkerIndex index,
                                const WorkerQuery& query);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_CHOICE_EXPLANATION_H_
