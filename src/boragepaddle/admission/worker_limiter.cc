#include "boragepaddle/admission/worker_limiter.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace boragepaddle::admission {

namespace {

/// Lowest rank of root requests; nested calls rank below it.
constexpr uint32_t kFirstRootRank = 1000;

/// Nested calls go first, since they belong to requests in progress.
uint32_t RankOf(uint32_t priority, bool nested) {
  const uint32_t bounded = std::min(priority, kFirstRootRank - 1);
  return nested ? bounded : kFirstRootRank + bounded;
}

absl::Duration AllowedWait(const WorkerLimiterSettings& settings,
                           const SlotRequest& call,
                           absl::Time now) {
  if (call.nested) {
    return (call.give_up_at - now) * settings.nested_wait_share;
  }
  const absl::Duration objective_bound =
      call.objective == absl::InfiniteDuration()
          ? settings.max_wait
          : call.objective * settings.wait_share;
  const absl::Duration bounded =
      std::clamp(objective_bound, settings.min_wait, settings.max_wait);
  return std::min(bounded, call.give_up_at - now);
}

/// Lowest rate limit, in calls per second: without any call the worker could
/// not report that it accepts more.
constexpr double kMinRate = 0.25;

double RateBurst(const WorkerLimiter& limiter) {
  return std::max(1.0, limiter.max_rate *
                           absl::ToDoubleSeconds(limiter.settings.rate_burst));
}

double RateTokens(const WorkerLimiter& limiter, absl::Time now) {
  // Calls of one loop iteration may use an earlier time than the last refill.
  const double seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - limiter.rate_refilled_at));
  return std::min(RateBurst(limiter),
                  limiter.rate_tokens + seconds * limiter.max_rate);
}

void RefillRateTokens(WorkerLimiter& limiter, absl::Time now) {
  if (!std::isinf(limiter.max_rate)) {
    limiter.rate_tokens = RateTokens(limiter, now);
    limiter.rate_refilled_at = std::max(limiter.rate_refilled_at, now);
  }
}

bool CanStart(const WorkerLimiter& limiter) {
  return limiter.running.size() < ConcurrencyLimit(limiter) &&
         (std::isinf(limiter.max_rate) || limiter.rate_tokens >= 1);
}

/// Time until `calls` calls have started.
absl::Duration TimeToStart(const WorkerLimiter& limiter, double calls) {
  absl::Duration wait;
  if (limiter.running.size() >= ConcurrencyLimit(limiter)) {
    wait = ExpectedCallTime(limiter) * (calls / ConcurrencyLimit(limiter));
  }
  if (!std::isinf(limiter.max_rate)) {
    const double missing = std::max(0.0, calls - limiter.rate_tokens);
    wait = std::max(wait, absl::Seconds(missing / limiter.max_rate));
  }
  return wait;
}

void StartCall(WorkerLimiter& limiter,
               uint64_t id,
               absl::Time now,
               SlotDecisions& out) {
  limiter.running[id] = {now, WorkUntil(limiter.speed, now)};
  limiter.rate_tokens -= std::isinf(limiter.max_rate) ? 0 : 1;
  out.start.push_back(id);
}

using Queue = absl::btree_map<WorkerLimiter::Key, WorkerLimiter::Waiting>;

/// Removes a queued call and returns the position after it.
Queue::iterator RemoveQueued(WorkerLimiter& limiter,
                             Queue::iterator entry,
                             bool starts) {
  const WorkerLimiter::Key key = entry->first;
  const auto rank = limiter.ranks.find(key.rank);
  OnDequeued(rank->second, entry->second.call.account, key.virtual_start,
             starts);
  if (rank->second.queued == 0) {
    limiter.ranks.erase(rank);
  }
  limiter.queued_keys.erase(entry->second.call.id);
  return limiter.queue.erase(entry);
}

/// Removes the newest queued call of the account with the most calls in the
/// least important rank, and returns it.
SlotRequest EvictLast(WorkerLimiter& limiter) {
  auto last = std::prev(limiter.queue.end());
  const FairQueue& rank = limiter.ranks.at(last->first.rank);
  const size_t most = MostQueued(rank);
  // From the end, so that of several such accounts the one whose call would
  // start last loses it.
  while (rank.accounts.at(last->second.call.account).queued < most) {
    --last;
  }
  SlotRequest call = last->second.call;
  RemoveQueued(limiter, last, /*starts=*/false);
  return call;
}

/// True if the sender gives up before even the shortest of the recent calls
/// would end at the present speed.
bool IsTooLate(const WorkerLimiter& limiter,
               const SlotRequest& call,
               absl::Time now) {
  if (!IsKnown(limiter.speed)) {
    return false;
  }
  const auto shortest = base::CurrentMinimum(
      limiter.shortest_work, limiter.settings.shortest_work_period, now);
  return shortest &&
         call.give_up_at - now < TimeForWork(limiter.speed, *shortest, now);
}

/// True if the call would miss its objective only because the machine is slow
/// for a moment, so that another worker would serve it better.
bool MissesObjectiveInSpell(const WorkerLimiter& limiter,
                            const SlotRequest& call,
                            absl::Duration wait,
                            absl::Time now) {
  const SpeedKind kind = KindOfSpeed(limiter.speed, now);
  if (kind != SpeedKind::kSlowSpell && kind != SpeedKind::kColdStart) {
    return false;
  }
  const absl::Duration steady = limiter.mean_work * limiter.speed.steady;
  const double slowness = absl::FDivDuration(limiter.expected_time, steady);
  return wait + limiter.expected_time > call.objective &&
         wait / slowness + steady <= call.objective;
}

void UpdateExpectedTime(WorkerLimiter& limiter, absl::Time now) {
  if (IsKnown(limiter.speed)) {
    limiter.expected_time = TimeForWork(limiter.speed, limiter.mean_work, now);
  }
}

void StartQueued(WorkerLimiter& limiter, absl::Time now, SlotDecisions& out) {
  RefillRateTokens(limiter, now);
  UpdateExpectedTime(limiter, now);
  while (!limiter.queue.empty() && CanStart(limiter)) {
    const auto first = limiter.queue.begin();
    const SlotRequest call = first->second.call;
    const bool is_too_late = IsTooLate(limiter, call, now);
    RemoveQueued(limiter, first, /*starts=*/!is_too_late);
    if (is_too_late) {
      out.too_late.push_back(call.id);
      continue;
    }
    StartCall(limiter, call.id, now, out);
  }
}

void AddSample(WorkerLimiter& limiter,
               absl::Duration time,
               absl::Duration work,
               absl::Time now) {
  const WorkerLimiterSettings& settings = limiter.settings;
  if (IsKnown(limiter.speed) && work > absl::ZeroDuration()) {
    limiter.mean_work = limiter.mean_work * (1 - settings.mean_weight) +
                        work * settings.mean_weight;
    base::AddSample(limiter.shortest_work, work, settings.shortest_work_period,
                    now);
  }
  limiter.mean_time = limiter.mean_time * (1 - settings.mean_weight) +
                      time * settings.mean_weight;
  ++limiter.sample_count;
  const double weight =
      std::max(settings.long_term_mean_weight, 1.0 / limiter.sample_count);
  limiter.long_term_mean_time =
      limiter.long_term_mean_time * (1 - weight) + time * weight;
}

/// Number of queued calls before the key.
size_t QueuedAhead(const WorkerLimiter& limiter,
                   const WorkerLimiter::Key& key) {
  if (limiter.queue.empty()) {
    return 0;
  }
  const auto end = limiter.queue.lower_bound(key);
  return static_cast<size_t>(std::distance(limiter.queue.begin(), end));
}

absl::Duration WaitBehind(const WorkerLimiter& limiter,
                          const WorkerLimiter::Key& key) {
  if (ConcurrencyLimit(limiter) == 0) {
    return absl::InfiniteDuration();
  }
  return TimeToStart(limiter,
                     static_cast<double>(QueuedAhead(limiter, key) + 1));
}

}  // namespace

WorkerLimiter MakeWorkerLimiter(const WorkerLimiterSettings& settings) {
  WorkerLimiter limiter;
  limiter.settings = settings;
  limiter.mean_time = settings.initial_mean;
  return limiter;
}

uint32_t ConcurrencyLimit(const WorkerLimiter& limiter) {
  if (limiter.slots == 0) {
    return 0;
  }
  const double usable = std::floor(limiter.slots * limiter.settings.slot_share);
  const double elsewhere = limiter.slots_elsewhere;
  return static_cast<uint32_t>(std::max(1.0, usable - elsewhere));
}

absl::Duration ExpectedWait(const WorkerLimiter& limiter,
                            uint32_t priority,
                            bool nested) {
  return WaitBehind(limiter, {RankOf(priority, nested) + 1});
}

void SetMaxRate(WorkerLimiter& limiter, double max_rate, absl::Time now) {
  if (limiter.max_rate == max_rate) {
    return;
  }
  RefillRateTokens(limiter, now);
  if (std::isinf(limiter.max_rate)) {
    limiter.rate_tokens = 0;
    limiter.rate_refilled_at = now;
  }
  limiter.max_rate = std::max(max_rate, kMinRate);
}

double RateUsed(const WorkerLimiter& limiter, absl::Time now) {
  return std::isinf(limiter.max_rate)
             ? 0
             : 1 - RateTokens(limiter, now) / RateBurst(limiter);
}

void OnWorkerLoad(WorkerLimiter& limiter,
                  const WorkerLoadFigures& figures,
                  absl::Time now) {
  if (figures.speed_percent == 0) {
    return;
  }
  const bool was_known = IsKnown(limiter.speed);
  RecordSpeed(limiter.speed, figures, now);
  if (!was_known) {
    limiter.mean_work = limiter.mean_time / limiter.speed.steady;
  }
  limiter.figures_at = now;
  const uint32_t all = figures.running + figures.waiting;
  const auto own = static_cast<uint32_t>(limiter.running.size());
  const uint32_t elsewhere = all - std::min(all, own);
  // Calls from elsewhere matter once calls have to wait for slots; from then on
  // their slots stay reserved until they have left.
  limiter.slots_elsewhere = figures.waiting > 0
                                ? elsewhere
                                : std::min(limiter.slots_elsewhere, elsewhere);
  UpdateExpectedTime(limiter, now);
}

void ForgetWorkerLoad(WorkerLimiter& limiter,
                      absl::Duration age,
                      absl::Time now) {
  ResetSpeed(limiter.speed, age, now);
  limiter.shortest_work = base::WindowedMinimum();
  limiter.slots_elsewhere = 0;
  limiter.figures_at = absl::InfinitePast();
}

absl::Duration ExpectedCallTime(const WorkerLimiter& limiter) {
  return IsKnown(limiter.speed) ? limiter.expected_time : limiter.mean_time;
}

SlotDecisions OnSlotRequest(WorkerLimiter& limiter,
                            const SlotRequest& call,
                            absl::Time now) {
  SlotDecisions out;
  RefillRateTokens(limiter, now);
  UpdateExpectedTime(limiter, now);
  if (IsTooLate(limiter, call, now)) {
    out.too_late.push_back(call.id);
    return out;
  }
  if (limiter.queue.empty() && CanStart(limiter)) {
    StartCall(limiter, call.id, now, out);
    return out;
  }
  const absl::Duration allowed = AllowedWait(limiter.settings, call, now);
  const uint32_t rank = RankOf(call.priority, call.nested);
  const auto rank_queue = limiter.ranks.find(rank);
  const WorkerLimiter::Key key{
      rank,
      rank_queue == limiter.ranks.end()
          ? 0
          : VirtualStart(rank_queue->second, call.account),
      limiter.next_sequence};
  const absl::Duration wait = WaitBehind(limiter, key);
  if (wait > allowed || MissesObjectiveInSpell(limiter, call, wait, now)) {
    out.refuse.push_back(call.id);
    return out;
  }
  ++limiter.next_sequence;
  limiter.queue[key] = {call, now + allowed};
  limiter.queued_keys[call.id] = key;
  OnQueued(limiter.ranks[rank], call.account, key.virtual_start);
  // A call that the arrival delays beyond its own allowed wait is refused now
  // rather than when that wait has passed. Within a rank only a call of another
  // account can delay it.
  const auto last = std::prev(limiter.queue.end());
  const bool is_same_rank = last->first.rank == rank;
  const absl::Duration tolerance =
      is_same_rank ? absl::ZeroDuration() : allowed;
  const absl::Duration last_wait =
      TimeToStart(limiter, static_cast<double>(limiter.queue.size()));
  if (last->second.call.id != call.id &&
      now + last_wait > last->second.refuse_at + tolerance) {
    const SlotRequest evicted = EvictLast(limiter);
    out.refuse.push_back(evicted.id);
    out.refused_by_share = is_same_rank && evicted.account != call.account;
    limiter.account_evictions += out.refused_by_share ? 1 : 0;
  }
  StartQueued(limiter, now, out);
  return out;
}

SlotDecisions OnSlotReleased(WorkerLimiter& limiter,
                             uint64_t id,
                             bool completed,
                             absl::Time now) {
  SlotDecisions out;
  const auto found = limiter.running.find(id);
  if (found != limiter.running.end()) {
    if (completed) {
      AddSample(limiter, now - found->second.started_at,
                WorkUntil(limiter.speed, now) - found->second.work_at_start,
                now);
    }
    limiter.running.erase(found);
  }
  StartQueued(limiter, now, out);
  return out;
}

bool CancelSlotRequest(WorkerLimiter& limiter, uint64_t id) {
  const auto found = limiter.queued_keys.find(id);
  if (found == limiter.queued_keys.end()) {
    return false;
  }
  RemoveQueued(limiter, limiter.queue.find(found->second), /*starts=*/false);
  return true;
}

SlotDecisions OnLimiterTick(WorkerLimiter& limiter, absl::Time now) {
  SlotDecisions out;
  if (now - limiter.figures_at >= limiter.settings.figures_ttl) {
    limiter.slots_elsewhere = 0;
  }
  for (auto entry = limiter.queue.begin(); entry != limiter.queue.end();) {
    if (entry->second.refuse_at > now) {
      ++entry;
      continue;
    }
    out.refuse.push_back(entry->second.call.id);
    entry = RemoveQueued(limiter, entry, /*starts=*/false);
  }
  StartQueued(limiter, now, out);
  return out;
}

std::vector<uint64_t> RefuseQueued(WorkerLimiter& limiter) {
  std::vector<uint64_t> ids;
  for (const auto& [key, waiting] : limiter.queue) {
    ids.push_back(waiting.call.id);
  }
  limiter.queue.clear();
  limiter.queued_keys.clear();
  limiter.ranks.clear();
  return ids;
}

}  // namespace boragepaddle::admission
