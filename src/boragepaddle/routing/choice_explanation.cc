#include "boragepaddle/routing/choice_explanation.h"

#include <utility>

#include "absl/algorithm/container.h"

namespace boragepaddle::routing {

namespace {

Exclusion ExclusionOf(const LoadTable& table,
                      const WorkerQuery& query,
                      const catalog::WorkerEntry& entry) {
  if (absl::c_linear_search(query.exclude, entry.instance)) {
    return Exclusion::kTried;
  }
  if (!catalog::IsUsable(entry)) {
    return catalog::IsLeaving(entry) ? Exclusion::kLeaving
                                     : Exclusion::kSuperseded;
  }
  if (IsAvailable(table, entry, query.now)) {
    return Exclusion::kNone;
  }
  return FindLoad(table, entry.instance)->refusing ? Exclusion::kRefusing
                                                   : Exclusion::kBackOff;
}

}  // namespace

absl::string_view ToString(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kNone:
      return "none";
    case Exclusion::kTried:
      return "tried";
    case Exclusion::kLeaving:
      return "leaving";
    case Exclusion::kSuperseded:
      return "superseded";
    case Exclusion::kRefusing:
      return "refusing";
    case Exclusion::kBackOff:
      return "back_off";
  }
  return "none";
}

ChoiceExplanation ExplainChoice(const LoadTable& table,
                                const catalog::WorkerDirectory& directory,
                                WorkerIndex index,
                                const WorkerQuery& query) {
  ChoiceExplanation explanation;
  explanation.by_index = UsesIndex(table, query.service, query.now);
  const auto service = index.services.find(query.service);
  const double typical_load =
      explanation.by_index && service != index.services.end()
          ? service->second.typical_load
          : 0;
  for (const auto& [instance, entry] : directory.entries) {
    if (entry.service != query.service) {
      continue;
    }
    ExplainedWorker worker;
    worker.instance = instance;
    worker.availability_zone = entry.availability_zone;
    worker.load = EstimatedLoad(table, entry, query.now, typical_load);
    worker.exclusion = ExclusionOf(table, query, entry);
    if (const WorkerLoad* load = FindLoad(table, instance)) {
      worker.report_age = query.now - load->reported_at;
      worker.speed_percent = load->reported.speed_percent;
    }
    explanation.workers.push_back(std::move(worker));
  }
  const catalog::WorkerEntry* chosen =
      ChooseWorkerForService(table, directory, index, query);
  explanation.chosen = chosen == nullptr ? "" : chosen->instance;
  return explanation;
}

}  // namespace boragepaddle::routing
