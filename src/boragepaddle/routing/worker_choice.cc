#include "boragepaddle/routing/worker_choice.h"

#include <algorithm>

#include "absl/algorithm/container.h"

namespace boragepaddle::routing {

namespace {

/// Assumed slots of a worker that lists none.
constexpr uint32_t kDefaultSlots = 16;

constexpr double kThousand = 1000;

/// Maximum random load added to a worker, so that nodes with the same reports
/// do not all choose the same one.
constexpr double kMaxRandomLoad = 0.08;

uint32_t SlotsOf(const catalog::WorkerEntry& entry) {
  return entry.slots > 0 ? entry.slots : kDefaultSlots;
}

/// Calls from other nodes according to the last report.
double ReportedCallsOfOthers(const WorkerLoad& load, double slots) {
  const double reported = load.reported.running + load.reported.queued;
  // A worker that has used up its rate limit is full although few calls run.
  const double used_slots = slots * load.reported.rate_used / kThousand;
  return std::max(used_slots, reported - load.in_flight_at_report);
}

/// Calls from other nodes; the report loses weight with its age.
double CallsOfOthers(const WorkerChoiceSettings& settings,
                     const WorkerLoad& load,
                     double slots,
                     double typical_load,
                     absl::Time now) {
  const double weight = ReportWeight(settings, load, now);
  const double reported =
      weight > 0 ? ReportedCallsOfOthers(load, slots) * weight : 0;
  return reported + slots * typical_load * (1 - weight);
}

/// Share of its slots that a worker can use while it warms up.
double WarmUpFactor(const WorkerChoiceSettings& settings,
                    const catalog::WorkerEntry& entry,
                    absl::Time now) {
  const absl::Time warm_at = entry.seen_at + entry.warm_up_remaining;
  if (entry.warm_up_remaining <= absl::ZeroDuration() || now >= warm_at) {
    return 1;
  }
  const double left =
      absl::FDivDuration(warm_at - now, entry.warm_up_remaining);
  return settings.warm_up_initial_share +
         (1 - settings.warm_up_initial_share) * (1 - left);
}

/// Call time at the worker relative to the typical one.
double RelativeCallTime(const LoadTable& table,
                        const catalog::WorkerEntry& entry,
                        absl::Duration typical) {
  const WorkerLoad* load = FindLoad(table, entry.instance);
  if (load == nullptr || load->reported.mean_us == 0 ||
      typical <= absl::ZeroDuration()) {
    return 1;
  }
  return absl::FDivDuration(absl::Microseconds(load->reported.mean_us),
                            typical);
}

/// Deterministic pseudo-random number in [0, 1) for one candidate.
double RandomFraction(uint64_t random, size_t index) {
  uint64_t mixed = random + 0x9e3779b97f4a7c15u * (index + 1);
  mixed ^= mixed >> 30;
  mixed *= 0xbf58476d1ce4e5b9u;
  mixed ^= mixed >> 27;
  return static_cast<double>(mixed >> 11) / 9007199254740992.0;
}

}  // namespace

const WorkerLoad* FindLoad(const LoadTable& table, absl::string_view instance) {
  const auto found = table.workers.find(instance);
  return found == table.workers.end() ? nullptr : &found->second;
}

bool IsAvailable(const LoadTable& table,
                 const catalog::WorkerEntry& entry,
                 absl::Time now) {
  const WorkerLoad* load = FindLoad(table, entry.instance);
  return load == nullptr || (!load->refusing && now >= load->back_off_until);
}

void OnCallSent(LoadTable& table, absl::string_view instance) {
  ++table.workers[std::string(instance)].in_flight;
}

void OnCallEnded(LoadTable& table,
                 absl::string_view instance,
                 const schema::GateLoad& load,
                 bool failed,
                 absl::Time now) {
  WorkerLoad& worker = table.workers[std::string(instance)];
  worker.in_flight -= std::min<uint32_t>(worker.in_flight, 1);
  worker.reported = load;
  worker.reported_at = now;
  worker.in_flight_at_report = worker.in_flight;
  const double weight = table.settings.failure_weight;
  worker.failure_rate =
      worker.failure_rate * (1 - weight) + (failed ? weight : 0);
}

void OnCallLost(LoadTable& table, absl::string_view instance) {
  WorkerLoad& worker = table.workers[std::string(instance)];
  worker.in_flight -= std::min<uint32_t>(worker.in_flight, 1);
}

void OnUnreachable(LoadTable& table,
                   absl::string_view instance,
                   absl::Time now) {
  WorkerLoad& worker = table.workers[std::string(instance)];
  worker.back_off_until = now + table.settings.unreachable_back_off;
  worker.reported_at = absl::InfinitePast();
}

void OnWorkerFull(LoadTable& table,
                  absl::string_view instance,
                  absl::Time now) {
  table.workers[std::string(instance)].back_off_until =
      now + table.settings.full_back_off;
}

void OnLoadNotice(LoadTable& table,
                  absl::string_view instance,
                  const schema::LoadNotice& notice,
                  absl::Time now) {
  WorkerLoad& worker = table.workers[std::string(instance)];
  worker.refusing = !notice.taking;
  worker.reported = notice.load;
  worker.reported_at = now;
  worker.in_flight_at_report = worker.in_flight;
}

void RemoveUnlistedWorkers(LoadTable& table,
                           const catalog::WorkerDirectory& directory) {
  absl::erase_if(table.workers, [&](const auto& worker) {
    return !directory.entries.contains(worker.first) &&
           worker.second.in_flight == 0;
  });
}

void OnSpeedReport(LoadTable& table,
                   absl::string_view service,
                   const schema::GateLoad& load,
                   absl::Time now) {
  if (load.speed_percent > 0) {
    table.speed_reported_at[service] = now;
  }
}

bool UsesIndex(const LoadTable& table,
               absl::string_view service,
               absl::Time now) {
  if (table.settings.use_index) {
    return true;
  }
  const auto found = table.speed_reported_at.find(service);
  return found != table.speed_reported_at.end() &&
         now - found->second < table.settings.speed_report_ttl;
}

uint32_t KnownRateLimit(const LoadTable& table, absl::string_view instance) {
  const auto found = table.workers.find(instance);
  return found == table.workers.end() ? 0 : found->second.reported.rate_limit;
}

absl::Duration MeanCallTime(const LoadTable& table,
                            const catalog::WorkerDirectory& directory,
                            absl::string_view service) {
  absl::Duration sum;
  int64_t known = 0;
  for (const auto& [instance, entry] : directory.entries) {
    const WorkerLoad* load = FindLoad(table, instance);
    if (entry.service == service && catalog::IsUsable(entry) &&
        load != nullptr && load->reported.mean_us > 0) {
      sum += absl::Microseconds(load->reported.mean_us);
      ++known;
    }
  }
  return known > 0 ? sum / known : absl::ZeroDuration();
}

double ReportWeight(const WorkerChoiceSettings& settings,
                    const WorkerLoad& load,
                    absl::Time now) {
  const absl::Duration age = now - load.reported_at;
  return age >= settings.report_ttl
             ? 0
             : 1 - absl::FDivDuration(age, settings.report_ttl);
}

double ReportedLoadOfOthers(const WorkerLoad& load,
                            const catalog::WorkerEntry& entry) {
  const double slots = SlotsOf(entry);
  return ReportedCallsOfOthers(load, slots) / slots;
}

double EstimatedLoad(const LoadTable& table,
                     const catalog::WorkerEntry& entry,
                     absl::Time now,
                     double typical_load) {
  const WorkerChoiceSettings& settings = table.settings;
  const WorkerLoad* load = FindLoad(table, entry.instance);
  const double usable_slots =
      SlotsOf(entry) * WarmUpFactor(settings, entry, now);
  if (load == nullptr) {
    return 1 / usable_slots + typical_load;
  }
  const double busy =
      load->in_flight +
      CallsOfOthers(settings, *load, usable_slots, typical_load, now) + 1;
  return busy / usable_slots + load->failure_rate * settings.failure_penalty;
}

const catalog::WorkerEntry* ChooseWorker(
    const LoadTable& table,
    const catalog::WorkerDirectory& directory,
    const WorkerQuery& query) {
  const WorkerChoiceSettings& settings = table.settings;
  const absl::Duration typical = MeanCallTime(table, directory, query.service);
  const catalog::WorkerEntry* best = nullptr;
  double best_cost = 0;
  size_t index = 0;
  for (const auto& [instance, entry] : directory.entries) {
    ++index;
    if (entry.service != query.service || !catalog::IsUsable(entry) ||
        absl::c_linear_search(query.exclude, instance)) {
      continue;
    }
    const bool available = IsAvailable(table, entry, query.now);
    if (!available && query.only_available) {
      continue;
    }
    const double relative_time = RelativeCallTime(table, entry, typical);
    const double load = EstimatedLoad(table, entry, query.now);
    double cost = load;
    if (entry.availability_zone == query.availability_zone) {
      // Loads below the threshold are nearly equivalent. A slow local worker
      // saves less by its zone than it costs by its call time.
      const bool good = load < settings.local_load_threshold &&
                        relative_time <= settings.local_time_threshold;
      cost = good ? cost * 0.01 : cost;
    } else {
      cost += settings.cross_zone_penalty;
    }
    cost += RandomFraction(query.random, index) * kMaxRandomLoad;
    // Unavailable workers are a last resort.
    cost += available ? 0 : 100;
    if (best == nullptr || cost < best_cost) {
      best = &entry;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace boragepaddle::routing
