#include "boragepaddle/routing/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "boragepaddle/routing/random_bits.h"
#include "boragepaddle/routing/subset.h"

namespace boragepaddle::routing {

namespace {

using schema::Outcome;
using schema::Reason;

constexpr size_t kMaxLeft = 4;
// Longer than the lag of the VM list (30 s), which may name a VM again that
// was removed from it for a moment.
constexpr absl::Duration kKeepLeavingMark = absl::Seconds(60);
constexpr absl::Duration kFirstBackOff = absl::Milliseconds(100);
constexpr absl::Duration kLongestBackOff = absl::Seconds(2);
constexpr uint32_t kMaxDoublings = 5;
constexpr double kDelayShare = 0.2;
constexpr double kSlowDecay = 1.0 / 32;
constexpr double kTroublePerFailure = 0.25;
constexpr uint32_t kFirstServerError = 500;

Upstream* Find(RouteTable& table, absl::string_view vm_id) {
  return const_cast<Upstream*>(FindUpstream(table, vm_id));
}

bool HasLeft(const Upstream& upstream, uint64_t incarnation) {
  const auto& left = upstream.left;
  return std::find(left.begin(), left.end(), incarnation) != left.end();
}

bool IsEligible(const RouteTable& table, const schema::VmEntry& vm) {
  const Upstream* known = FindUpstream(table, vm.vm_id);
  return vm.state == schema::VmState::kLive &&
         (known == nullptr || !known->leaving);
}

bool IsWorthKeeping(const Upstream& upstream, absl::Time now) {
  return upstream.in_flight > 0 ||
         (!upstream.left.empty() &&
          now - upstream.leaving_since < kKeepLeavingMark);
}

/// Resets what belongs to the process and not to the VM.
void StartIncarnation(Upstream& upstream,
                      uint64_t incarnation,
                      absl::Time now) {
  upstream.incarnation = incarnation;
  upstream.leaving = false;
  upstream.started = now;
  upstream.delay = absl::ZeroDuration();
  upstream.slow_delay = absl::ZeroDuration();
  upstream.trouble = 0;
  upstream.level_at = absl::InfinitePast();
  upstream.failures = 0;
  upstream.avoid_until = absl::InfinitePast();
}

void InstallVm(RouteTable& table, const ListedVm& listed) {
  Upstream* known = Find(table, listed.vm.vm_id);
  if (known == nullptr) {
    table.upstreams.emplace_back();
    known = &table.upstreams.back();
    known->started = listed.first_seen;
  }
  known->vm = listed.vm;
  known->chosen = true;
}

/// A process behind another address is not the one that left.
void ResetReplaced(RouteTable& table, absl::Time now) {
  for (const ListedVm& listed : table.listed) {
    Upstream* known = Find(table, listed.vm.vm_id);
    if (known != nullptr && known->vm.peer_address != listed.vm.peer_address) {
      StartIncarnation(*known, 0, now);
      known->vm = listed.vm;
    }
  }
}

void ForgetUnused(RouteTable& table, absl::Time now) {
  auto& all = table.upstreams;
  const auto unused = [now](const Upstream& upstream) {
    return !upstream.chosen && !IsWorthKeeping(upstream, now);
  };
  all.erase(std::remove_if(all.begin(), all.end(), unused), all.end());
}

/// Chooses the subset again from the list and the leaving marks.
void Rebuild(RouteTable& table, const Locality& locality, absl::Time now) {
  ResetReplaced(table, now);
  std::vector<const schema::VmEntry*> eligible;
  for (const ListedVm& listed : table.listed) {
    if (IsEligible(table, listed.vm)) {
      eligible.push_back(&listed.vm);
    }
  }
  for (Upstream& upstream : table.upstreams) {
    upstream.chosen = false;
  }
  const auto subset = ChooseSubset(eligible, locality);
  const absl::flat_hash_set<const schema::VmEntry*> chosen(subset.begin(),
                                                           subset.end());
  for (const ListedVm& listed : table.listed) {
    if (chosen.contains(&listed.vm)) {
      InstallVm(table, listed);
    }
  }
  ForgetUnused(table, now);
}

void Average(absl::Duration sample, absl::Duration& mean) {
  mean = mean == absl::ZeroDuration() ? sample
                                      : mean + kDelayShare * (sample - mean);
}

void AddDelay(RouteTable& table,
              Upstream& upstream,
              absl::Duration sample,
              absl::Time now) {
  Average(sample, upstream.delay);
  upstream.delay_at = now;
  Average(sample, table.typical_delay);
  upstream.slow_delay =
      std::max(sample, upstream.slow_delay +
                           kSlowDecay * (sample - upstream.slow_delay));
}

void AddTrouble(Upstream& upstream, absl::Time now) {
  upstream.trouble =
      std::min(1.0, CurrentTrouble(upstream, now) + kTroublePerFailure);
  upstream.trouble_at = now;
}

void AddLevel(Upstream& upstream,
              schema::CallClass call_class,
              const schema::CallAnswer& answer,
              absl::Time now) {
  upstream.level = answer.admission_level;
  upstream.level_at = now;
  upstream.reported_in_flight = answer.in_flight;
  const bool refused = answer.outcome == Outcome::kNotRun &&
                       (answer.reason == Reason::kOverloaded ||
                        answer.reason == Reason::kDisplaced);
  if (refused) {
    // The refusal itself is better evidence than the level.
    upstream.level =
        std::min(upstream.level, static_cast<uint32_t>(call_class));
  }
}

void Release(Upstream& upstream) {
  if (upstream.in_flight > 0) {
    --upstream.in_flight;
  }
}

void BackOff(RouteTable& table,
             Upstream& upstream,
             absl::Time now,
             uint64_t random) {
  if (now < upstream.avoid_until) {
    return;
  }
  table.has_probes = true;
  const uint32_t doublings = std::min(upstream.failures, kMaxDoublings);
  const absl::Duration base =
      std::min(kLongestBackOff, kFirstBackOff * (1 << doublings));
  // Randomised so that the nodes of a service do not probe at once.
  upstream.avoid_until = now + base * (0.5 + ToUnitInterval(random));
  ++upstream.failures;
}

}  // namespace

void SetUpstreams(RouteTable& table,
                  const Locality& locality,
                  absl::Span<const schema::VmEntry> vms,
                  absl::Time now) {
  absl::flat_hash_map<std::string, absl::Time> first_seen;
  for (const ListedVm& listed : table.listed) {
    first_seen[listed.vm.vm_id] = listed.first_seen;
  }
  const absl::Time unknown = table.installed ? now : absl::InfinitePast();
  table.listed.clear();
  for (const schema::VmEntry& vm : vms) {
    const auto known = first_seen.find(vm.vm_id);
    table.listed.push_back(
        {vm, known == first_seen.end() ? unknown : known->second});
  }
  table.installed = table.installed || !vms.empty();
  Rebuild(table, locality, now);
}

const Upstream* FindUpstream(const RouteTable& table, absl::string_view vm_id) {
  for (const Upstream& upstream : table.upstreams) {
    if (upstream.vm.vm_id == vm_id) {
      return &upstream;
    }
  }
  return nullptr;
}

const schema::VmEntry* FindListed(const RouteTable& table,
                                  absl::string_view vm_id) {
  for (const ListedVm& listed : table.listed) {
    if (listed.vm.vm_id == vm_id) {
      return &listed.vm;
    }
  }
  return nullptr;
}

void OnHello(RouteTable& table,
             const Locality& locality,
             const schema::Hello& hello,
             absl::Time now) {
  Upstream* upstream = Find(table, hello.vm_id);
  if (upstream == nullptr) {
    return;
  }
  if (hello.leaving || HasLeft(*upstream, hello.incarnation)) {
    OnLeaving(table, locality, hello.vm_id, hello.incarnation, now);
    return;
  }
  const uint64_t previous = upstream->incarnation;
  if (previous != hello.incarnation) {
    const absl::Time started = previous == 0 ? upstream->started : now;
    StartIncarnation(*upstream, hello.incarnation, started);
  }
  upstream->failures = 0;
  upstream->avoid_until = absl::InfinitePast();
  if (previous != 0 && previous != hello.incarnation) {
    Rebuild(table, locality, now);
  }
}

void OnLeaving(RouteTable& table,
               const Locality& locality,
               absl::string_view vm_id,
               uint64_t incarnation,
               absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  if (!HasLeft(*upstream, incarnation)) {
    upstream->left.push_back(incarnation);
    if (upstream->left.size() > kMaxLeft) {
      upstream->left.erase(upstream->left.begin());
    }
  }
  const bool current =
      upstream->incarnation == 0 || upstream->incarnation == incarnation;
  if (!current || upstream->leaving) {
    return;
  }
  upstream->incarnation = incarnation;
  upstream->leaving = true;
  upstream->leaving_since = now;
  table.has_probes = true;
  Rebuild(table, locality, now);
}

void OnSent(RouteTable& table, absl::string_view vm_id, absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  if (upstream->in_flight == 0) {
    upstream->last_progress = now;
  }
  ++upstream->in_flight;
}

void OnAnswer(RouteTable& table,
              absl::string_view vm_id,
              schema::CallClass call_class,
              const schema::CallAnswer& answer,
              absl::Time sent_at,
              absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  Release(*upstream);
  upstream->last_progress = now;
  upstream->failures = 0;
  upstream->avoid_until = absl::InfinitePast();
  AddLevel(*upstream, call_class, answer, now);
  const bool good = answer.outcome == Outcome::kCompleted &&
                    answer.status < kFirstServerError;
  // A refusal or an error is fast; its time must not attract calls.
  if (good) {
    AddDelay(table, *upstream, now - sent_at, now);
  } else if (answer.reason != schema::Reason::kRefusedBelow) {
    AddTrouble(*upstream, now);
  }
}

bool AnyAdmits(const RouteTable& table,
               schema::CallClass call_class,
               absl::Time now) {
  return absl::c_any_of(table.upstreams, [&](const Upstream& upstream) {
    return upstream.chosen && !upstream.leaving &&
           AdmitsClass(upstream, call_class, now);
  });
}

void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  // A silent upstream must not look idle once its attempts have timed out.
  if (IsSilent(*upstream, now)) {
    BackOff(table, *upstream, now, /*random=*/uint64_t{1} << 63);
  }
  Release(*upstream);
  AddTrouble(*upstream, now);
}

void OnConnectionLost(RouteTable& table,
                      absl::string_view vm_id,
                      absl::Time now,
                      uint64_t random) {
  if (Upstream* upstream = Find(table, vm_id)) {
    BackOff(table, *upstream, now, random);
  }
}

std::vector<ProbeTarget> DueProbes(RouteTable& table, absl::Time now) {
  std::vector<ProbeTarget> targets;
  if (!table.has_probes) {
    return targets;
  }
  table.has_probes = false;
  for (const Upstream& upstream : table.upstreams) {
    const bool failing = upstream.chosen && upstream.failures > 0;
    if (!failing && !upstream.leaving) {
      continue;
    }
    table.has_probes = true;
    if (upstream.avoid_until <= now) {
      targets.push_back({upstream.vm.vm_id, upstream.vm.peer_address});
    }
  }
  return targets;
}

}  // namespace boragepaddle::routing
