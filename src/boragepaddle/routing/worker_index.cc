#include "boragepaddle/routing/worker_index.h"

#include <algorithm>

#include "absl/algorithm/container.h"

namespace boragepaddle::routing {

namespace {

using Group = std::vector<const catalog::WorkerEntry*>;

/// Random draws per wanted candidate. Draws that hit a worker which is excluded
/// or unavailable are repeated.
constexpr size_t kDrawsPerCandidate = 4;

/// Workers that are examined in turn if no draw hit one that qualifies. Groups
/// up to this size are examined whole.
constexpr size_t kMaxExamined = 32;

/// Weight of one candidate in the typical values of a service: they follow the
/// last 50 choices or so.
constexpr double kTypicalWeight = 0.01;

constexpr double kPercent = 100;

uint64_t NextRandom(uint64_t& state) {
  state += 0x9e3779b97f4a7c15u;
  uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  return mixed ^ (mixed >> 31);
}

/// Random number in [0, 1).
double NextFraction(uint64_t& state) {
  return static_cast<double>(NextRandom(state) >> 11) / 9007199254740992.0;
}

bool Qualifies(const LoadTable& table,
               const WorkerQuery& query,
               const catalog::WorkerEntry& entry,
               bool only_available) {
  return !absl::c_linear_search(query.exclude, entry.instance) &&
         (!only_available || IsAvailable(table, entry, query.now));
}

/// Draws different workers of the group that qualify, at most as many as the
/// settings say.
Group DrawCandidates(const LoadTable& table,
                     const WorkerQuery& query,
                     const Group& group,
                     bool only_available,
                     uint64_t& random) {
  const size_t wanted = table.settings.candidates;
  Group candidates;
  const auto consider = [&](const catalog::WorkerEntry* entry) {
    if (!absl::c_linear_search(candidates, entry) &&
        Qualifies(table, query, *entry, only_available)) {
      candidates.push_back(entry);
    }
    return candidates.size() >= wanted;
  };
  for (size_t draw = 0; draw < wanted * kDrawsPerCandidate; ++draw) {
    if (consider(group[NextRandom(random) % group.size()])) {
      return candidates;
    }
  }
  const size_t examined = std::min(group.size(), kMaxExamined);
  const size_t start = NextRandom(random) % group.size();
  for (size_t step = 0; candidates.empty() && step < examined; ++step) {
    consider(group[(start + step) % group.size()]);
  }
  return candidates;
}

void Learn(double& typical, double value) {
  typical += typical == 0 ? value : (value - typical) * kTypicalWeight;
}

/// Updates the typical values by the report of a candidate, if it is recent.
void LearnTypical(const LoadTable& table,
                  const catalog::WorkerEntry& entry,
                  absl::Time now,
                  IndexedService& service) {
  const WorkerLoad* load = FindLoad(table, entry.instance);
  if (load == nullptr || ReportWeight(table.settings, *load, now) <= 0) {
    return;
  }
  Learn(service.typical_load, ReportedLoadOfOthers(*load, entry));
  if (load->reported.mean_us > 0) {
    Learn(service.typical_call_us, load->reported.mean_us);
  }
  if (load->reported.speed_percent > 0) {
    Learn(service.typical_speed, load->reported.speed_percent / kPercent);
  }
}

/// Time of a call at the worker relative to the typical one.
double RelativeTime(const WorkerLoad* load, const IndexedService& service) {
  if (load == nullptr) {
    return 1;
  }
  if (load->reported.speed_percent > 0 && service.typical_speed > 0) {
    return load->reported.speed_percent / kPercent / service.typical_speed;
  }
  return load->reported.mean_us > 0 && service.typical_call_us > 0
             ? load->reported.mean_us / service.typical_call_us
             : 1;
}

/// A worker and its cost for this choice.
struct Candidate {
  const catalog::WorkerEntry* entry = nullptr;
  double cost = 0;
  /// Its zone counts: it has capacity and is not slow.
  bool is_good = false;
};

Candidate MakeCandidate(const LoadTable& table,
                        const IndexedService& service,
                        const WorkerQuery& query,
                        const catalog::WorkerEntry& entry) {
  const WorkerChoiceSettings& settings = table.settings;
  const double load =
      EstimatedLoad(table, entry, query.now, service.typical_load);
  const double relative_time =
      RelativeTime(FindLoad(table, entry.instance), service);
  Candidate candidate;
  candidate.entry = &entry;
  // A call takes a slot of a slow machine for longer.
  candidate.cost = load * relative_time;
  candidate.is_good = load < settings.local_load_threshold &&
                      relative_time <= settings.local_time_threshold;
  return candidate;
}

/// True if `a` is chosen rather than `b`: the more likely, the lower its cost.
bool Prefers(const LoadTable& table,
             double a_cost,
             double b_cost,
             uint64_t& random) {
  return NextFraction(random) <
         0.5 + table.settings.candidate_gain * (b_cost - a_cost);
}

/// Chooses among the workers of one group; null if it is empty.
Candidate ChooseInGroup(const LoadTable& table,
                        const WorkerQuery& query,
                        const Group& group,
                        IndexedService& service,
                        uint64_t& random) {
  Candidate best;
  for (const catalog::WorkerEntry* entry : group) {
    LearnTypical(table, *entry, query.now, service);
    const Candidate candidate = MakeCandidate(table, service, query, *entry);
    if (best.entry == nullptr ||
        Prefers(table, candidate.cost, best.cost, random)) {
      best = candidate;
    }
  }
  return best;
}

/// Chooses between the candidate of the own zone and that of all zones.
Candidate ChooseZone(const LoadTable& table,
                     const WorkerQuery& query,
                     const Candidate& local,
                     const Candidate& other,
                     uint64_t& random) {
  if (local.entry == nullptr || other.entry == nullptr) {
    return local.entry == nullptr ? other : local;
  }
  // A second draw in the own zone would double the weight of its best worker.
  if (local.is_good ||
      other.entry->availability_zone == query.availability_zone) {
    return local;
  }
  const double other_cost = other.cost + table.settings.cross_zone_penalty;
  return Prefers(table, local.cost, other_cost, random) ? local : other;
}

}  // namespace

void UpdateIndex(WorkerIndex& index,
                 const catalog::WorkerDirectory& directory) {
  if (index.generation == directory.generation) {
    return;
  }
  index.generation = directory.generation;
  for (auto& [name, service] : index.services) {
    service.all.clear();
    service.by_zone.clear();
  }
  for (const auto& [instance, entry] : directory.entries) {
    if (catalog::IsUsable(entry)) {
      IndexedService& service = index.services[entry.service];
      service.all.push_back(&entry);
      service.by_zone[entry.availability_zone].push_back(&entry);
    }
  }
  absl::erase_if(index.services,
                 [](const auto& item) { return item.second.all.empty(); });
}

const catalog::WorkerEntry* ChooseIndexedWorker(const LoadTable& table,
                                                WorkerIndex& index,
                                                const WorkerQuery& query) {
  const auto found = index.services.find(query.service);
  if (found == index.services.end()) {
    return nullptr;
  }
  IndexedService& service = found->second;
  const auto local = service.by_zone.find(query.availability_zone);
  uint64_t random = query.random;
  // Unavailable workers are a last resort.
  for (const bool only_available : {true, false}) {
    if (!only_available && query.only_available) {
      break;
    }
    Candidate own_zone;
    if (local != service.by_zone.end()) {
      own_zone = ChooseInGroup(
          table, query,
          DrawCandidates(table, query, local->second, only_available, random),
          service, random);
    }
    const Candidate any_zone = ChooseInGroup(
        table, query,
        DrawCandidates(table, query, service.all, only_available, random),
        service, random);
    const Candidate chosen =
        ChooseZone(table, query, own_zone, any_zone, random);
    if (chosen.entry != nullptr) {
      return chosen.entry;
    }
  }
  return nullptr;
}

const catalog::WorkerEntry* ChooseWorkerForService(
    const LoadTable& table,
    const catalog::WorkerDirectory& directory,
    WorkerIndex& index,
    const WorkerQuery& query) {
  if (!UsesIndex(table, query.service, query.now)) {
    return ChooseWorker(table, directory, query);
  }
  UpdateIndex(index, directory);
  return ChooseIndexedWorker(table, index, query);
}

}  // namespace boragepaddle::routing
