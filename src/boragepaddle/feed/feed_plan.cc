#include "boragepaddle/feed/feed_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "absl/algorithm/container.h"

namespace boragepaddle::feed {

namespace {

constexpr int64_t kUnknownAge = -1;

/// Candidates that are kept while no list is known.
constexpr size_t kMaxMet = 8;

absl::Time TimeOf(int64_t age_us, absl::Time now) {
  return age_us < 0 ? absl::InfinitePast() : now - absl::Microseconds(age_us);
}

int64_t AgeOf(absl::Time at, absl::Time now) {
  return at == absl::InfinitePast()
             ? kUnknownAge
             : std::max<int64_t>(0, absl::ToInt64Microseconds(now - at));
}

/// In (0, 1].
double UnitOf(uint64_t random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(random >> 11) + 1) * kScale;
}

bool IsAlive(const FeedPlan& plan, const FeedSource& source, absl::Time now) {
  return source.subscribed && now - source.heard <= plan.settings.silence;
}

// A copy that is confirmed by this node's own read says nothing new. Of two
// nodes that read without being readers, one goes on, or both would rely on
// each other and stop.
bool HasCurrentCopy(const FeedPlan& plan,
                    const FeedSource& source,
                    absl::Time now) {
  const std::string& origin = source.origin;
  const bool counts = origin != plan.self.address &&
                      (!plan.reading || plan.readers.contains(origin) ||
                       origin < plan.self.address);
  return counts && IsAlive(plan, source, now) &&
         now - source.confirmed <= plan.settings.max_age;
}

bool IsFed(const FeedPlan& plan, absl::Time now) {
  return absl::c_any_of(plan.sources, [&](const auto& source) {
    return HasCurrentCopy(plan, source.second, now);
  });
}

bool HasLiveSource(const FeedPlan& plan, absl::Time now) {
  return absl::c_any_of(plan.sources, [&](const auto& source) {
    return IsAlive(plan, source.second, now);
  });
}

/// As of when the node's copy was the store's newest, by whose read.
struct Confirmation {
  absl::Time at = absl::InfinitePast();
  absl::string_view origin;
};

/// True if the first says more: a reader's read before another node's, and of
/// equal ones that of the smaller address, so that all nodes agree on one.
bool IsBetter(const FeedPlan& plan,
              const Confirmation& a,
              const Confirmation& b,
              absl::Time now) {
  const bool a_current = now - a.at <= plan.settings.max_age;
  const bool b_current = now - b.at <= plan.settings.max_age;
  if (!a_current || !b_current) {
    return a.at > b.at;
  }
  const bool a_reader = plan.readers.contains(a.origin);
  const bool b_reader = plan.readers.contains(b.origin);
  if (a_reader && b_reader) {
    return a.at > b.at;
  }
  return a_reader != b_reader ? a_reader : a.origin < b.origin;
}

Confirmation BestConfirmation(const FeedPlan& plan, absl::Time now) {
  Confirmation best;
  if (plan.reading && !plan.read_failing) {
    best = {plan.read_confirmed, plan.self.address};
  }
  for (const auto& [address, source] : plan.sources) {
    const Confirmation told{source.confirmed, source.origin};
    if (IsAlive(plan, source, now) && source.origin != plan.self.address &&
        IsBetter(plan, told, best, now)) {
      best = told;
    }
  }
  return best;
}

size_t WantedSources(const FeedPlan& plan) {
  return plan.reader ? plan.candidates.size() : plan.settings.sources;
}

void Drop(FeedSource& source) {
  source.subscribed = false;
  source.offered = false;
  source.heard = absl::InfinitePast();
  source.confirmed = absl::InfinitePast();
  source.outage = absl::InfinitePast();
  source.stale_since = absl::InfiniteFuture();
}

/// True if the source gives no sign of life.
bool IsSilent(const FeedPlan& plan, const FeedSource& source, absl::Time now) {
  return now - source.since > plan.settings.silence &&
         !IsAlive(plan, source, now);
}

// Sources that have lost the store are left one after the other, so that the
// node is never without any. The readers tell each other of the changes that
// any of them sees, so none has anything to gain from leaving another.
bool IsTurnToLeave(FeedPlan& plan, FeedSource& source, absl::Time now) {
  if (plan.reader || HasCurrentCopy(plan, source, now)) {
    source.stale_since = absl::InfiniteFuture();
    return false;
  }
  source.stale_since = std::min(source.stale_since, now);
  const absl::Duration patience = plan.settings.stale_patience;
  if (now - source.stale_since <= patience || now - plan.left_at <= patience) {
    return false;
  }
  plan.left_at = now;
  return true;
}

void LeaveSources(FeedPlan& plan, FeedActions& actions, absl::Time now) {
  const bool fed_by_candidates =
      absl::c_any_of(plan.sources, [&](const auto& source) {
        return !source.second.offered &&
               plan.readers.contains(source.second.origin) &&
               HasCurrentCopy(plan, source.second, now);
      });
  for (auto& [address, source] : plan.sources) {
    if (!source.subscribed) {
      continue;
    }
    const bool listed = absl::c_linear_search(plan.candidates, address);
    const bool stays = listed || (source.offered && !fed_by_candidates);
    if (stays && !IsSilent(plan, source, now) &&
        !IsTurnToLeave(plan, source, now)) {
      continue;
    }
    Drop(source);
    source.avoid_until = now + plan.settings.avoid;
    actions.unsubscribe.push_back(address);
  }
  for (auto at = plan.sources.begin(); at != plan.sources.end();) {
    const bool idle = !at->second.subscribed && at->second.avoid_until <= now &&
                      !absl::c_linear_search(plan.candidates, at->first);
    at = idle ? plan.sources.erase(at) : std::next(at);
  }
}

void FindSources(FeedPlan& plan, FeedActions& actions, absl::Time now) {
  size_t subscribed = static_cast<size_t>(
      absl::c_count_if(plan.sources, [](const auto& source) {
        return source.second.subscribed && !source.second.offered;
      }));
  for (const std::string& address : plan.candidates) {
    if (subscribed >= WantedSources(plan)) {
      return;
    }
    FeedSource& source = plan.sources[address];
    if (source.subscribed || now < source.avoid_until) {
      continue;
    }
    source.subscribed = true;
    source.since = now;
    ++subscribed;
    actions.subscribe.push_back(address);
  }
}

// The sources answer but have lost the store, and so has most of the fleet:
// all nodes together make a steady number of attempts.
absl::Duration AttemptDelay(const FeedPlan& plan, uint64_t random) {
  const double mean_s = static_cast<double>(std::max<size_t>(plan.fleet, 1)) /
                        plan.settings.fleet_tries_per_s;
  return plan.settings.patience +
         absl::Seconds(-std::log(UnitOf(random)) * mean_s);
}

/// For a node that no source feeds.
bool WantsToReadUnfed(FeedPlan& plan, uint64_t random, absl::Time now) {
  if (!HasLiveSource(plan, now)) {
    plan.read_at = absl::InfiniteFuture();
    if (plan.silent_until == absl::InfinitePast()) {
      plan.silent_until =
          now + plan.settings.patience + plan.settings.jitter * UnitOf(random);
    }
    return plan.reading || now >= plan.silent_until;
  }
  plan.silent_until = absl::InfinitePast();
  if (plan.reading && !plan.read_failing) {
    return true;
  }
  if (plan.reading || plan.read_at == absl::InfiniteFuture()) {
    plan.read_at = now + AttemptDelay(plan, random);
  }
  return now >= plan.read_at;
}

bool WantsToRead(FeedPlan& plan, uint64_t random, absl::Time now) {
  if (plan.reader) {
    return true;
  }
  if (plan.fed_since == absl::InfiniteFuture()) {
    return WantsToReadUnfed(plan, random, now);
  }
  plan.read_at = absl::InfiniteFuture();
  plan.silent_until = absl::InfinitePast();
  return plan.reading && now - plan.fed_since < plan.settings.settle;
}

}  // namespace

void SetOrder(FeedPlan& plan, const ReaderOrder& order) {
  plan.fleet = order.hosts.size();
  plan.reader = IsReader(order, plan.self.address);
  plan.readers.clear();
  for (size_t place = 0;
       place < std::min(order.settings.readers, order.hosts.size()); ++place) {
    plan.readers.insert(order.hosts[place].address);
  }
  plan.candidates = SourcesOf(order, plan.self);
}

void AddCandidate(FeedPlan& plan, absl::string_view address) {
  if (plan.fleet == 0 && plan.candidates.size() < kMaxMet &&
      address != plan.self.address &&
      !absl::c_linear_search(plan.candidates, address)) {
    plan.candidates.emplace_back(address);
  }
}

bool IsAlone(const FeedPlan& plan) {
  return !plan.reader && plan.candidates.empty();
}

bool OnStamp(FeedPlan& plan,
             absl::string_view address,
             const schema::FeedStamp& stamp,
             absl::Time now) {
  const auto found = plan.sources.find(address);
  const bool known = found != plan.sources.end() && found->second.subscribed;
  const absl::Time confirmed = TimeOf(stamp.age_us, now);
  if (!known && (stamp.origin == plan.self.address || IsCurrent(plan, now) ||
                 now - confirmed > plan.settings.max_age)) {
    return false;
  }
  FeedSource& source = known ? found->second : plan.sources[address];
  if (!known) {
    source.subscribed = true;
    source.offered = true;
    source.since = now;
  }
  source.heard = now;
  source.confirmed = confirmed;
  source.origin = stamp.origin;
  source.outage = TimeOf(stamp.outage_age_us, now);
  source.revision = stamp.revision;
  source.digest = stamp.digest;
  return !known;
}

FetchOrder NextFetch(FeedPlan& plan,
                     uint64_t revision,
                     uint64_t digest,
                     absl::Time now) {
  FetchOrder order;
  if (!plan.fetching_from.empty() &&
      now - plan.fetch_sent < plan.settings.fetch_time) {
    return order;
  }
  const FeedSource* best = nullptr;
  for (const auto& [address, source] : plan.sources) {
    const bool differs =
        source.revision > revision ||
        (source.revision == revision && source.digest != digest);
    if (!IsAlive(plan, source, now) || !differs ||
        address == plan.fetching_from) {
      continue;
    }
    if (best == nullptr || source.revision > best->revision) {
      best = &source;
      order.address = address;
    }
  }
  plan.fetching_from.clear();
  if (best == nullptr) {
    return order;
  }
  // Equal revisions with unequal items: changes before this revision are
  // missing.
  order.whole = revision == 0 || best->revision == revision;
  if (order.whole) {
    if (now - plan.whole_sent < plan.settings.whole_pause) {
      return FetchOrder();
    }
    plan.whole_sent = now;
  }
  plan.fetching_from = order.address;
  plan.fetch_sent = now;
  return order;
}

void OnFetched(FeedPlan& plan, absl::string_view address) {
  if (plan.fetching_from == address) {
    plan.fetching_from.clear();
  }
}

void OnSourceLost(FeedPlan& plan, absl::string_view address, absl::Time now) {
  const auto found = plan.sources.find(address);
  if (found != plan.sources.end() && found->second.subscribed) {
    Drop(found->second);
    found->second.avoid_until = now + plan.settings.avoid;
  }
  OnFetched(plan, address);
}

void OnStoreAnswer(FeedPlan& plan, absl::Time now) {
  plan.read_failing = false;
  plan.read_confirmed = now;
}

void OnStoreFailure(FeedPlan& plan, absl::Time now) {
  plan.read_failing = true;
  plan.read_outage = now;
}

void OnStoreReturn(FeedPlan& plan, absl::Time now) {
  // Entries that lapsed meanwhile have from now on their time to return.
  plan.read_outage = now;
}

void OnFeedPause(FeedPlan& plan, absl::Time now) {
  for (auto& [address, source] : plan.sources) {
    source.heard = absl::InfinitePast();
    source.since = now;
  }
  plan.read_confirmed = absl::InfinitePast();
  plan.fed_since = absl::InfiniteFuture();
  // Looks at once.
  plan.silent_until = now;
  plan.fetching_from.clear();
}

FeedActions Advance(FeedPlan& plan, uint64_t random, absl::Time now) {
  FeedActions actions;
  LeaveSources(plan, actions, now);
  FindSources(plan, actions, now);
  if (!IsFed(plan, now)) {
    plan.fed_since = absl::InfiniteFuture();
  } else if (plan.fed_since == absl::InfiniteFuture()) {
    plan.fed_since = now;
  }
  const bool wants = WantsToRead(plan, random, now);
  actions.start_reading = wants && !plan.reading;
  actions.stop_reading = !wants && plan.reading;
  if (actions.start_reading) {
    // Not failing before the first answer.
    plan.read_failing = false;
    plan.read_at = absl::InfiniteFuture();
  }
  plan.reading = wants;
  return actions;
}

absl::Time OutageSeen(const FeedPlan& plan, absl::Time now) {
  std::vector<absl::Time> reports;
  if (plan.reading) {
    reports.push_back(plan.read_outage);
  }
  for (const auto& [address, source] : plan.sources) {
    if (IsAlive(plan, source, now)) {
      reports.push_back(source.outage);
    }
  }
  if (reports.empty()) {
    return absl::InfinitePast();
  }
  absl::c_sort(reports, std::greater<>());
  return reports[std::min<size_t>(1, reports.size() - 1)];
}

bool IsCurrent(const FeedPlan& plan, absl::Time now) {
  return now - BestConfirmation(plan, now).at <= plan.settings.max_age;
}

std::vector<std::string> SourcesToTell(const FeedPlan& plan, absl::Time now) {
  std::vector<std::string> stale;
  if (!IsCurrent(plan, now)) {
    return stale;
  }
  for (const auto& [address, source] : plan.sources) {
    if (IsAlive(plan, source, now) &&
        now - source.confirmed > plan.settings.max_age) {
      stale.push_back(address);
    }
  }
  return stale;
}

schema::FeedStamp MakeStamp(const FeedPlan& plan,
                            uint64_t revision,
                            uint64_t digest,
                            absl::Time now) {
  schema::FeedStamp stamp;
  stamp.revision = revision;
  stamp.digest = digest;
  const Confirmation confirmation = BestConfirmation(plan, now);
  stamp.age_us = AgeOf(confirmation.at, now);
  stamp.origin = std::string(confirmation.origin);
  // What a reader saw of the store itself; the receivers compare readers.
  stamp.outage_age_us =
      AgeOf(plan.reading ? plan.read_outage : OutageSeen(plan, now), now);
  return stamp;
}

}  // namespace boragepaddle::feed
