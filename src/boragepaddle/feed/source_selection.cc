#include "boragepaddle/feed/source_selection.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "absl/algorithm/container.h"

namespace boragepaddle::feed {

namespace {

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

size_t WantedSources(const FeedPlan& plan) {
  return plan.reader ? plan.candidates.size() : plan.settings.sources;
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

}  // namespace

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

void DropSource(FeedSource& source) {
  source.subscribed = false;
  source.offered = false;
  source.heard = absl::InfinitePast();
  source.confirmed = absl::InfinitePast();
  source.outage = absl::InfinitePast();
  source.stale_since = absl::InfiniteFuture();
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
    DropSource(source);
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

}  // namespace boragepaddle::feed
