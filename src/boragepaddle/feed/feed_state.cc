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

/// Time from the staleness of all copies until a change has reached all nodes:
/// the spread of the reads, a read, and the distribution.
constexpr absl::Duration kStaleReadTime = absl::Milliseconds(600);

/// Limit on candidates while no list of hosts is known.
constexpr size_t kMaxDiscoveredCandidates = 8;

absl::Time TimeFromAge(int64_t age_us, absl::Time now) {
  return age_us < 0 ? absl::InfinitePast() : now - absl::Microseconds(age_us);
}

int64_t AgeFromTime(absl::Time at, absl::Time now) {
  return at == absl::InfinitePast()
             ? kUnknownAge
             : std::max<int64_t>(0, absl::ToInt64Microseconds(now - at));
}

/// Maps a random number to (0, 1].
double ToUnitInterval(uint64_t random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(random >> 11) + 1) * kScale;
}

// The sources are alive but cannot reach the store, and neither can most of the
// fleet. Exponentially distributed delays give a constant rate of attempts over
// all nodes.
absl::Duration FallbackReadDelay(const FeedState& state, uint64_t random) {
  const double mean_s =
      static_cast<double>(std::max<size_t>(state.fleet_size, 1)) /
      state.settings.fleet_read_attempts_per_s;
  return state.settings.fallback_delay +
         absl::Seconds(-std::log(ToUnitInterval(random)) * mean_s);
}

/// Delay until this node reads the store because its sources are stale.
absl::Duration StaleReadDelay(FeedState& state, uint64_t random) {
  const bool undecided = state.stale_read_undecided;
  state.stale_read_undecided = false;
  if (undecided && random % std::max<size_t>(state.fleet_size, 1) <
                       state.settings.stale_readers) {
    return state.settings.stale_read_spread * ToUnitInterval(random);
  }
  return FallbackReadDelay(state, random);
}

/// Decision for a node whose sources have no current copy.
bool ShouldReadWithoutCurrentSource(FeedState& state,
                                    uint64_t random,
                                    absl::Time now) {
  if (!HasLiveSource(state, now)) {
    state.stale_fallback_at = absl::InfiniteFuture();
    if (state.unreachable_fallback_at == absl::InfinitePast()) {
      state.unreachable_fallback_at =
          now + state.settings.fallback_delay +
          state.settings.fallback_jitter * ToUnitInterval(random);
    }
    return state.reading || now >= state.unreachable_fallback_at;
  }
  state.unreachable_fallback_at = absl::InfinitePast();
  if (state.reading && !state.read_failing) {
    return true;
  }
  if (state.reading || state.stale_fallback_at == absl::InfiniteFuture()) {
    state.stale_fallback_at = now + StaleReadDelay(state, random);
  }
  return now >= state.stale_fallback_at;
}

bool ShouldReadStore(FeedState& state, uint64_t random, absl::Time now) {
  if (state.is_reader) {
    return true;
  }
  if (state.source_current_since == absl::InfiniteFuture()) {
    return ShouldReadWithoutCurrentSource(state, random, now);
  }
  state.stale_fallback_at = absl::InfiniteFuture();
  state.unreachable_fallback_at = absl::InfinitePast();
  state.stale_read_undecided = true;
  return state.reading &&
         now - state.source_current_since < state.settings.fallback_hold_time;
}

}  // namespace

FeedSettings MakeFeedSettings(absl::Duration change_deadline) {
  FeedSettings settings;
  settings.max_age =
      std::max(settings.max_age, change_deadline - kStaleReadTime);
  return settings;
}

void SetDistributionTree(FeedState& state, const DistributionTree& tree) {
  state.fleet_size = tree.hosts.size();
  state.is_reader = IsReader(tree, state.self.address);
  state.readers.clear();
  for (size_t position = 0;
       position < std::min(tree.settings.readers, tree.hosts.size());
       ++position) {
    state.readers.insert(tree.hosts[position].address);
  }
  state.candidates = CandidateSources(tree, state.self);
}

void AddCandidate(FeedState& state, absl::string_view address) {
  if (state.fleet_size == 0 &&
      state.candidates.size() < kMaxDiscoveredCandidates &&
      address != state.self.address &&
      !absl::c_linear_search(state.candidates, address)) {
    state.candidates.emplace_back(address);
  }
}

bool IsIsolated(const FeedState& state) {
  return !state.is_reader && state.candidates.empty();
}

bool OnStamp(FeedState& state,
             absl::string_view address,
             const schema::FeedStamp& stamp,
             absl::Time now) {
  const auto found = state.sources.find(address);
  const bool is_source =
      found != state.sources.end() && found->second.subscribed;
  const absl::Time confirmed_at = TimeFromAge(stamp.age_us, now);
  if (!is_source &&
      (stamp.origin == state.self.address || stamp.era < state.era ||
       IsCurrent(state, now) || now - confirmed_at > state.settings.max_age)) {
    return false;
  }
  FeedSource& source = is_source ? found->second : state.sources[address];
  if (!is_source) {
    source.subscribed = true;
    source.unsolicited = true;
    source.subscribed_at = now;
  }
  source.last_heard_at = now;
  source.confirmed_at = confirmed_at;
  source.origin = stamp.origin;
  source.outage_at = TimeFromAge(stamp.outage_age_us, now);
  source.position = {stamp.era, stamp.revision};
  source.digest = stamp.digest;
  return !is_source;
}

FetchRequest NextFetch(FeedState& state,
                       const base::StorePosition& position,
                       uint64_t digest,
                       absl::Time now) {
  FetchRequest request;
  if (!state.fetching_from.empty() &&
      now - state.fetch_sent_at < state.settings.fetch_timeout) {
    return request;
  }
  const FeedSource* best = nullptr;
  for (const auto& [address, source] : state.sources) {
    const bool differs =
        source.position > position ||
        (source.position == position && source.digest != digest);
    if (!IsAlive(state, source, now) || !differs ||
        address == state.fetching_from) {
      continue;
    }
    if (best == nullptr || source.position > best->position) {
      best = &source;
      request.address = address;
    }
  }
  state.fetching_from.clear();
  if (best == nullptr) {
    return request;
  }
  // Equal positions with different digests: earlier changes are missing, so
  // only a snapshot repairs the copy.
  request.is_snapshot = position.revision == 0 || best->position == position ||
                        best->position.era != position.era;
  if (request.is_snapshot) {
    // A return of the store must not wait for the interval.
    if (best->position.era == state.snapshot_requested_era &&
        now - state.snapshot_requested_at <
            state.settings.min_snapshot_interval) {
      return FetchRequest();
    }
    state.snapshot_requested_at = now;
    state.snapshot_requested_era = best->position.era;
  }
  state.fetching_from = request.address;
  state.fetch_sent_at = now;
  return request;
}

void OnFetchCompleted(FeedState& state, absl::string_view address) {
  if (state.fetching_from == address) {
    state.fetching_from.clear();
  }
}

void OnSourceDisconnected(FeedState& state,
                          absl::string_view address,
                          absl::Time now) {
  const auto found = state.sources.find(address);
  if (found != state.sources.end() && found->second.subscribed) {
    ResetSource(found->second);
    found->second.backoff_until = now + state.settings.source_backoff;
  }
  OnFetchCompleted(state, address);
}

void OnStoreReadSucceeded(FeedState& state, absl::Time now) {
  state.read_failing = false;
  state.read_confirmed_at = now;
}

void OnStoreReadFailed(FeedState& state, absl::Time now) {
  state.read_failing = true;
  state.read_outage_at = now;
}

void OnStoreRecovered(FeedState& state, absl::Time now) {
  // Entries that expired during the outage get their full re-registration time
  // from now on.
  state.read_outage_at = now;
}

void OnProcessPause(FeedState& state, absl::Time now) {
  for (auto& [address, source] : state.sources) {
    source.last_heard_at = absl::InfinitePast();
    source.subscribed_at = now;
  }
  state.read_confirmed_at = absl::InfinitePast();
  state.source_current_since = absl::InfiniteFuture();
  // Read the store at once if no source is alive.
  state.unreachable_fallback_at = now;
  state.fetching_from.clear();
}

FeedActions Advance(FeedState& state, uint64_t random, absl::Time now) {
  FeedActions actions;
  DropSources(state, actions, now);
  AddSources(state, actions, now);
  if (!HasCurrentSource(state, now)) {
    state.source_current_since = absl::InfiniteFuture();
  } else if (state.source_current_since == absl::InfiniteFuture()) {
    state.source_current_since = now;
  }
  const bool should_read = ShouldReadStore(state, random, now);
  actions.start_reading = should_read && !state.reading;
  actions.stop_reading = !should_read && state.reading;
  if (actions.start_reading) {
    // Not failing until the first read has ended.
    state.read_failing = false;
    state.stale_fallback_at = absl::InfiniteFuture();
  }
  state.reading = should_read;
  return actions;
}

absl::Time LastOutage(const FeedState& state, absl::Time now) {
  std::vector<absl::Time> reports;
  if (state.reading) {
    reports.push_back(state.read_outage_at);
  }
  for (const auto& [address, source] : state.sources) {
    if (IsAlive(state, source, now)) {
      reports.push_back(source.outage_at);
    }
  }
  if (reports.empty()) {
    return absl::InfinitePast();
  }
  absl::c_sort(reports, std::greater<>());
  return reports[std::min<size_t>(1, reports.size() - 1)];
}

bool IsBehindInEra(const FeedState& state) {
  return absl::c_any_of(state.sources, [&](const auto& source) {
    return source.second.subscribed && source.second.position.era > state.era;
  });
}

bool IsCurrent(const FeedState& state, absl::Time now) {
  return now - BestConfirmation(state, now).at <= state.settings.max_age;
}

std::vector<std::string> StaleSources(const FeedState& state, absl::Time now) {
  std::vector<std::string> stale;
  if (!IsCurrent(state, now)) {
    return stale;
  }
  for (const auto& [address, source] : state.sources) {
    if (IsAlive(state, source, now) &&
        now - source.confirmed_at > state.settings.max_age) {
      stale.push_back(address);
    }
  }
  return stale;
}

bool IsNoticeDue(const FeedState& state, absl::Time now) {
  return IsCurrent(state, now) != state.notified_current ||
         now - state.notice_sent_at >= state.settings.notice_interval ||
         BestConfirmation(state, now).at - state.notified_confirmation_at >=
             state.settings.confirmation_step;
}

void OnNoticeSent(FeedState& state, absl::Time now) {
  state.notice_sent_at = now;
  state.notified_confirmation_at = BestConfirmation(state, now).at;
  state.notified_current = IsCurrent(state, now);
}

schema::FeedStamp MakeStamp(const FeedState& state,
                            const base::StorePosition& position,
                            uint64_t digest,
                            absl::Time now) {
  schema::FeedStamp stamp;
  stamp.era = position.era;
  stamp.revision = position.revision;
  stamp.digest = digest;
  const Confirmation confirmation = BestConfirmation(state, now);
  stamp.age_us = AgeFromTime(confirmation.at, now);
  stamp.origin = std::string(confirmation.origin);
  // A node that reads the store reports its own observation; the receivers
  // compare the reports of several readers.
  stamp.outage_age_us = AgeFromTime(
      state.reading ? state.read_outage_at : LastOutage(state, now), now);
  return stamp;
}

}  // namespace boragepaddle::feed
