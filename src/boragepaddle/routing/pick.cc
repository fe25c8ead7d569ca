#include "boragepaddle/routing/pick.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "absl/container/inlined_vector.h"
#include "boragepaddle/routing/random_bits.h"
#include "boragepaddle/routing/subset.h"

namespace boragepaddle::routing {

namespace {

/// Health tiers. Lower tiers are preferred.
enum class Tier : uint8_t { kReady, kUnresponsive, kBackOff };
constexpr size_t kTierCount = 3;

// A more distant upstream is used if the nearer one costs this many times more.
constexpr double kSpillFactor = 2.0;
constexpr double kFailureCostFactor = 4.0;
constexpr absl::Duration kMinDelay = absl::Microseconds(100);

using Group = absl::InlinedVector<const Upstream*, kMaxSubset>;
using Tiers = std::array<std::array<Group, kDistanceCount>, kTierCount>;

Tier TierOf(const Upstream& upstream, absl::Time now) {
  if (now < upstream.back_off_until) {
    return Tier::kBackOff;
  }
  // After a failure, allows one attempt in flight until an answer arrives.
  const bool on_probation =
      upstream.consecutive_failures > 0 && upstream.in_flight > 0;
  return on_probation || IsUnresponsive(upstream, now) ? Tier::kUnresponsive
                                                       : Tier::kReady;
}

bool IsExcluded(const Upstream& upstream, const PickQuery& query) {
  const auto& list = query.exclude;
  return !upstream.in_subset || upstream.leaving ||
         std::find(list.begin(), list.end(), upstream.vm.vm_id) != list.end();
}

double Cost(const RouteTable& table, const Upstream& upstream, absl::Time now) {
  const absl::Duration expected =
      ExpectedDelay(upstream, table.typical_delay, now);
  const double delay = absl::ToDoubleSeconds(std::max(expected, kMinDelay));
  return delay * (upstream.in_flight + 1) *
         (1 + kFailureCostFactor * CurrentFailureRate(upstream, now));
}

/// Draws an upstream at random, weighted by slow start.
const Upstream* Draw(const Group& group, absl::Time now, uint64_t random) {
  double total = 0;
  for (const Upstream* upstream : group) {
    total += SlowStartWeight(*upstream, now);
  }
  double remaining = total * ToUnitInterval(random);
  for (const Upstream* upstream : group) {
    remaining -= SlowStartWeight(*upstream, now);
    if (remaining < 0) {
      return upstream;
    }
  }
  return group.back();
}

const Upstream* BetterOfTwo(const RouteTable& table,
                            const Group& group,
                            absl::Time now,
                            uint64_t random) {
  const Upstream* first = Draw(group, now, DeriveBits(random, 1));
  const Upstream* second = Draw(group, now, DeriveBits(random, 2));
  const double a = Cost(table, *first, now);
  const double b = Cost(table, *second, now);
  if (a != b) {
    return a < b ? first : second;
  }
  // Self-reported load only breaks ties.
  return first->reported_in_flight <= second->reported_in_flight ? first
                                                                 : second;
}

const Upstream* BestByDistance(const RouteTable& table,
                               const std::array<Group, kDistanceCount>& groups,
                               const PickQuery& query) {
  const Upstream* best = nullptr;
  for (const Group& group : groups) {
    if (group.empty()) {
      continue;
    }
    const Upstream* candidate =
        BetterOfTwo(table, group, query.now, query.random);
    if (best == nullptr || Cost(table, *candidate, query.now) * kSpillFactor <
                               Cost(table, *best, query.now)) {
      best = candidate;
    }
  }
  return best;
}

}  // namespace

Pick PickUpstream(const RouteTable& table,
                  const Locality& locality,
                  const PickQuery& query) {
  Pick pick;
  Tiers tiers;
  for (const Upstream& upstream : table.upstreams) {
    if (IsExcluded(upstream, query)) {
      continue;
    }
    if (RefusesClass(upstream, query.call_class, query.now)) {
      pick.refused = true;
      continue;
    }
    if (query.only_admitting &&
        !AdmitsClass(upstream, query.call_class, query.now)) {
      continue;
    }
    const auto tier = static_cast<size_t>(TierOf(upstream, query.now));
    const auto distance =
        static_cast<size_t>(DistanceOf(upstream.vm, locality));
    tiers[tier][distance].push_back(&upstream);
  }
  for (size_t tier = 0; tier < kTierCount && pick.upstream == nullptr; ++tier) {
    // Prefer a refusal by a working upstream to an attempt at a failed one.
    if (tier == static_cast<size_t>(Tier::kBackOff) && pick.refused) {
      break;
    }
    pick.upstream = BestByDistance(table, tiers[tier], query);
  }
  return pick;
}

const Upstream* PickRoundRobin(const RouteTable& table, uint64_t turn) {
  Group live;
  for (const Upstream& upstream : table.upstreams) {
    if (upstream.in_subset) {
      live.push_back(&upstream);
    }
  }
  return live.empty() ? nullptr : live[turn % live.size()];
}

}  // namespace boragepaddle::routing
