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
constexpr size_t kMaxDiscoveredCandidates = 8;

absl::Time TimeFromAge(int64_t age_us, absl::Time now) {
  return age_us < 0 ? absl::InfinitePast() : now - absl::Microseconds(age_us);
}

int64_t AgeFromTime(absl::Time at, absl::Time now) {
  return at == absl::InfinitePast()
             ? kUnknownAge
             : std::max<int64_t>(0, absl::ToInt64Microseconds(now - at));
}

/// In (0, 1].
double ToUnitInterval(uint64_t random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return (static_cast<double>(random >> 11) + 1) * kScale;
}

// The sources answer but have lost the store, and so has most of the
// fleet_size: all nodes together make a steady number of attempts.
absl::Duration FallbackReadDelay(const FeedState& state, uint64_t random) {
  const double mean_s =
      static_cast<double>(std::max<size_t>(state.fleet_size, 1)) /
      state.settings.fleet_read_attempts_per_s;
  return state.settings.fallback_delay +
         absl::Seconds(-std::log(ToUnitInterval(random)) * mean_s);
}

/// For a node that no source feeds.
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
    state.stale_fallback_at = now + FallbackReadDelay(state, random);
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
  return state.reading &&
         now - state.source_current_since < state.settings.fallback_hold_time;
}

}  // namespace

void SetDistributionTree(FeedState& state, const DistributionTree& order) {
  state.fleet_size = order.hosts.size();
  state.is_reader = IsReader(order, state.self.address);
  state.readers.clear();
  for (size_t position = 0;
       position < std::min(order.settings.readers, order.hosts.size());
       ++position) {
    state.readers.insert(order.hosts[position].address);
  }
  state.candidates = CandidateSources(order, state.self);
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
  const bool known = found != state.sources.end() && found->second.subscribed;
  const absl::Time confirmed = TimeFromAge(stamp.age_us, now);
  if (!known && (stamp.origin == state.self.address || IsCurrent(state, now) ||
                 now - confirmed > state.settings.max_age)) {
    return false;
  }
  FeedSource& source = known ? found->second : state.sources[address];
  if (!known) {
    source.subscribed = true;
    source.unsolicited = true;
    source.subscribed_at = now;
  }
  source.last_heard_at = now;
  source.confirmed_at = confirmed;
  source.origin = stamp.origin;
  source.outage_at = TimeFromAge(stamp.outage_age_us, now);
  source.revision = stamp.revision;
  source.digest = stamp.digest;
  return !known;
}

FetchRequest NextFetch(FeedState& state,
                       uint64_t revision,
                       uint64_t digest,
                       absl::Time now) {
  FetchRequest order;
  if (!state.fetching_from.empty() &&
      now - state.fetch_sent_at < state.settings.fetch_timeout) {
    return order;
  }
  const FeedSource* best = nullptr;
  for (const auto& [address, source] : state.sources) {
    const bool differs =
        source.revision > revision ||
        (source.revision == revision && source.digest != digest);
    if (!IsAlive(state, source, now) || !differs ||
        address == state.fetching_from) {
      continue;
    }
    if (best == nullptr || source.revision > best->revision) {
      best = &source;
      order.address = address;
    }
  }
  state.fetching_from.clear();
  if (best == nullptr) {
    return order;
  }
  // Equal revisions with unequal items: changes before this revision are
  // missing.
  order.is_snapshot = revision == 0 || best->revision == revision;
  if (order.is_snapshot) {
    if (now - state.snapshot_requested_at <
        state.settings.min_snapshot_interval) {
      return FetchRequest();
    }
    state.snapshot_requested_at = now;
  }
  state.fetching_from = order.address;
  state.fetch_sent_at = now;
  return order;
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
  // Entries that lapsed meanwhile have from now on their time to return.
  state.read_outage_at = now;
}

void OnProcessPause(FeedState& state, absl::Time now) {
  for (auto& [address, source] : state.sources) {
    source.last_heard_at = absl::InfinitePast();
    source.subscribed_at = now;
  }
  state.read_confirmed_at = absl::InfinitePast();
  state.source_current_since = absl::InfiniteFuture();
  // Looks at once.
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
  const bool wants = ShouldReadStore(state, random, now);
  actions.start_reading = wants && !state.reading;
  actions.stop_reading = !wants && state.reading;
  if (actions.start_reading) {
    // Not failing before the first answer.
    state.read_failing = false;
    state.stale_fallback_at = absl::InfiniteFuture();
  }
  state.reading = wants;
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

schema::FeedStamp MakeStamp(const FeedState& state,
                            uint64_t revision,
                            uint64_t digest,
                            absl::Time now) {
  schema::FeedStamp stamp;
  stamp.revision = revision;
  stamp.digest = digest;
  const Confirmation confirmation = BestConfirmation(state, now);
  stamp.age_us = AgeFromTime(confirmation.at, now);
  stamp.origin = std::string(confirmation.origin);
  // What a is_reader saw of the store itself; the receivers compare readers.
  stamp.outage_age_us = AgeFromTime(
      state.reading ? state.read_outage_at : LastOutage(state, now), now);
  return stamp;
}

}  // namespace boragepaddle::feed
