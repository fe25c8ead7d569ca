#include "boragepaddle/feed/feed_state.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "absl/algorithm/container.h"
#include "boragepaddle/feed/source_selection.h"

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
    DropSource(found->second);
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
