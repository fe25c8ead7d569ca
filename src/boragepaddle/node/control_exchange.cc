#include "boragepaddle/node/control_exchange.h"

#include <algorithm>
#include <string>

#include "boragepaddle/dissemination/zone_index.h"
#include "boragepaddle/membership/stable_hash.h"
#include "boragepaddle/node/control_spread.h"

namespace boragepaddle::node {
namespace {

constexpr absl::Duration kExchangeInterval = absl::Seconds(2);

// Interval for a new node that lacks a configuration or list.
constexpr absl::Duration kStartupInterval = absl::Milliseconds(500);

// Far above the round trip between regions. A frozen peer delays one exchange
// by this time.
constexpr absl::Duration kAnswerTimeout = absl::Milliseconds(500);
constexpr uint32_t kMaxAttempts = 3;

constexpr size_t kMaxSeedsAtStart = 5;

// One exchange in sixteen goes to a seed peer, so that a node whose list is
// entirely outdated finds the fleet again.
constexpr uint64_t kExchangesPerSeed = 16;

// Time for which a node waits after its start for its peers before it queries
// the platform. The random part spreads the reads when many nodes start at
// once.
constexpr absl::Duration kStartupWatchDelay = absl::Milliseconds(500);
constexpr absl::Duration kStartupWatchWindow = absl::Seconds(5);

// Mean time between platform reads by all non-readers of one zone, which detect
// a change when all readers of the zone are gone. 16 zones with two documents
// make 16 of the 2,000 reads per second that the platform serves. At 10 s, a
// single running node in a fleet of 10 took 33 s to detect a change.
constexpr absl::Duration kZoneReadInterval = absl::Seconds(2);

/// Random fraction in [0, 1) of a duration.
absl::Duration RandomFraction(absl::Duration whole, uint64_t random) {
  constexpr uint64_t kSteps = 1 << 20;
  return whole * static_cast<int64_t>(random % kSteps) / int64_t{kSteps};
}

/// Derives independent random bits for another purpose.
uint64_t Derive(uint64_t random, absl::string_view purpose) {
  return membership::RendezvousScore(random, purpose);
}

void AskSeed(const ControlState& state, size_t index, ControlActions& actions) {
  actions.push_back(SendMessage{"", state.settings.seed_peers[index],
                                OwnDigests(state, false)});
}

/// Returns false if there is no peer to ask.
bool AskRandomPeer(ControlState& state,
                   uint64_t random,
                   ControlActions& actions) {
  const auto& seeds = state.settings.seed_peers;
  const std::string peer = dissemination::PickExchangePeer(
      state.zones, state.settings.availability_zone, state.settings.vm_id,
      Derive(random, "peer"));
  const uint64_t choice = Derive(random, "seed");
  const bool ask_seed = peer.empty() || choice % kExchangesPerSeed == 0;
  if (ask_seed && !seeds.empty()) {
    AskSeed(state, (choice / kExchangesPerSeed) % seeds.size(), actions);
    return true;
  }
  if (peer.empty()) {
    return false;
  }
  SendTo(state, {peer, "", ""}, OwnDigests(state, false), actions);
  return true;
}

}  // namespace

void PlanPlatformRead(ControlState& state, absl::Time now, uint64_t random) {
  const auto members =
      state.zones.members.find(state.settings.availability_zone);
  const size_t size =
      members == state.zones.members.end() ? 1 : members->second.size();
  // Twice the mean, since the delay is uniform from 0.
  const absl::Duration window =
      2 * kZoneReadInterval * static_cast<int64_t>(size);
  state.next_platform_read =
      now + RandomFraction(window, Derive(random, "platform"));
}

void StartExchange(ControlState& state,
                   absl::Time now,
                   uint64_t random,
                   ControlActions& actions) {
  state.started = now;
  const auto& seeds = state.settings.seed_peers;
  const size_t count = std::min(seeds.size(), kMaxSeedsAtStart);
  for (size_t step = 0; step < count; ++step) {
    AskSeed(state, (random + step) % seeds.size(), actions);
  }
  // A random phase spreads the exchanges of a fleet.
  state.exchange.next =
      now + kStartupInterval + RandomFraction(kStartupInterval, random);
  state.startup_watch_at = now;
  if (!seeds.empty()) {
    state.startup_watch_at += kStartupWatchDelay;
    state.startup_watch_at +=
        RandomFraction(kStartupWatchWindow, Derive(random, "watch"));
  }
}

void TickExchange(ControlState& state,
                  absl::Time now,
                  uint64_t random,
                  ControlActions& actions) {
  ExchangeState& exchange = state.exchange;
  const bool unanswered = now >= exchange.answer_due;
  if (unanswered) {
    ++state.counters.unanswered_exchanges;
    exchange.answer_due = absl::InfiniteFuture();
  }
  const bool retry = unanswered && exchange.tries < kMaxAttempts;
  if (now < exchange.next && !retry) {
    return;
  }
  if (now >= exchange.next) {
    exchange.tries = 0;
    exchange.next =
        now + (HasBoth(state) ? kExchangeInterval : kStartupInterval);
  }
  if (AskRandomPeer(state, random, actions)) {
    ++state.counters.exchanges;
    ++exchange.tries;
    exchange.answer_due = now + kAnswerTimeout;
  }
}

void TickPlatformRead(ControlState& state,
                      absl::Time now,
                      uint64_t random,
                      ControlActions& actions) {
  if (now < state.next_platform_read) {
    return;
  }
  if (!state.watching && HasBoth(state)) {
    ++state.counters.platform_reads;
    actions.push_back(ReadPlatform{});
  }
  PlanPlatformRead(state, now, random);
}

void UpdateWatch(ControlState& state, absl::Time now, ControlActions& actions) {
  const bool is_reader = state.reader_rank < dissemination::kReadersPerZone;
  const bool starting = !HasBoth(state) && now >= state.startup_watch_at;
  const bool watch = is_reader || starting;
  if (watch != state.watching) {
    state.watching = watch;
    actions.push_back(WatchPlatform{watch});
  }
}

schema::DigestExchange OwnDigests(const ControlState& state, bool reply) {
  schema::DigestExchange digests;
  digests.config_version = state.config_channel.held.version;
  digests.config_digest = state.config_channel.held.digest;
  digests.list_version = state.list_channel.held.version;
  digests.list_digest = state.list_channel.held.digest;
  digests.refused_version = state.config_channel.refused.version;
  digests.reply = reply;
  return digests;
}

bool HasBoth(const ControlState& state) {
  return state.config_channel.held.version != 0 &&
         state.list_channel.held.version != 0;
}

}  // namespace boragepaddle::node
