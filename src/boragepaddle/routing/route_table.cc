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

constexpr size_t kMaxLeftIncarnations = 4;
// Longer than the lag of the VM list (30 s), which may name a removed VM again
// for a moment.
constexpr absl::Duration kLeavingMarkLifetime = absl::Seconds(60);
constexpr absl::Duration kFirstBackOff = absl::Milliseconds(100);
constexpr absl::Duration kMaxBackOff = absl::Seconds(2);
constexpr uint32_t kMaxDoublings = 5;
constexpr double kDelayWeight = 0.2;
constexpr double kPeakDelayDecay = 1.0 / 32;
constexpr double kFailureWeight = 0.25;
constexpr uint32_t kFirstServerError = 500;

Upstream* Find(RouteTable& table, absl::string_view vm_id) {
  return const_cast<Upstream*>(FindUpstream(table, vm_id));
}

bool HasLeft(const Upstream& upstream, uint64_t incarnation) {
  const auto& left_incarnations = upstream.left_incarnations;
  return std::find(left_incarnations.begin(), left_incarnations.end(),
                   incarnation) != left_incarnations.end();
}

bool IsEligible(const RouteTable& table, const schema::VmEntry& vm) {
  const Upstream* known = FindUpstream(table, vm.vm_id);
  return vm.state == schema::VmState::kLive &&
         (known == nullptr || !known->leaving);
}

bool MustKeep(const Upstream& upstream, absl::Time now) {
  return upstream.in_flight > 0 ||
         (!upstream.left_incarnations.empty() &&
          now - upstream.leaving_since < kLeavingMarkLifetime);
}

/// Resets the state that belongs to the process rather than to the VM.
void StartIncarnation(Upstream& upstream,
                      uint64_t incarnation,
                      absl::Time now) {
  upstream.incarnation = incarnation;
  upstream.leaving = false;
  upstream.slow_start_from = now;
  upstream.mean_delay = absl::ZeroDuration();
  upstream.peak_delay = absl::ZeroDuration();
  upstream.failure_rate = 0;
  upstream.admission_level_at = absl::InfinitePast();
  upstream.consecutive_failures = 0;
  upstream.back_off_until = absl::InfinitePast();
}

void InstallVm(RouteTable& table, const ListedVm& listed) {
  Upstream* known = Find(table, listed.vm.vm_id);
  if (known == nullptr) {
    table.upstreams.emplace_back();
    known = &table.upstreams.back();
    known->slow_start_from = listed.first_seen;
  }
  known->vm = listed.vm;
  known->in_subset = true;
}

/// A VM with a new address runs a new process, so its state is reset.
void ResetReplaced(RouteTable& table, absl::Time now) {
  for (const ListedVm& listed : table.listed) {
    Upstream* known = Find(table, listed.vm.vm_id);
    if (known != nullptr && known->vm.peer_address != listed.vm.peer_address) {
      StartIncarnation(*known, 0, now);
      known->vm = listed.vm;
    }
  }
}

void RemoveUnused(RouteTable& table, absl::Time now) {
  auto& all = table.upstreams;
  const auto unused = [now](const Upstream& upstream) {
    return !upstream.in_subset && !MustKeep(upstream, now);
  };
  all.erase(std::remove_if(all.begin(), all.end(), unused), all.end());
}

/// Selects the subset again from the VM list and the leaving marks.
void SelectSubset(RouteTable& table, const Locality& locality, absl::Time now) {
  ResetReplaced(table, now);
  std::vector<const schema::VmEntry*> eligible;
  for (const ListedVm& listed : table.listed) {
    if (IsEligible(table, listed.vm)) {
      eligible.push_back(&listed.vm);
    }
  }
  for (Upstream& upstream : table.upstreams) {
    upstream.in_subset = false;
  }
  const auto subset = ChooseSubset(eligible, locality);
  const absl::flat_hash_set<const schema::VmEntry*> chosen(subset.begin(),
                                                           subset.end());
  for (const ListedVm& listed : table.listed) {
    if (chosen.contains(&listed.vm)) {
      InstallVm(table, listed);
    }
  }
  RemoveUnused(table, now);
}

void UpdateMean(absl::Duration sample, absl::Duration& mean) {
  mean = mean == absl::ZeroDuration() ? sample
                                      : mean + kDelayWeight * (sample - mean);
}

void RecordDelay(RouteTable& table,
                 Upstream& upstream,
                 absl::Duration sample,
                 absl::Time now) {
  UpdateMean(sample, upstream.mean_delay);
  upstream.mean_delay_at = now;
  UpdateMean(sample, table.typical_delay);
  upstream.peak_delay =
      std::max(sample, upstream.peak_delay +
                           kPeakDelayDecay * (sample - upstream.peak_delay));
}

void RecordFailure(Upstream& upstream, absl::Time now) {
  upstream.failure_rate =
      std::min(1.0, CurrentFailureRate(upstream, now) + kFailureWeight);
  upstream.failure_rate_at = now;
}

void RecordAdmissionLevel(Upstream& upstream,
                          schema::CallClass call_class,
                          const schema::CallAnswer& answer,
                          absl::Time now) {
  upstream.admission_level = answer.admission_level;
  upstream.admission_level_at = now;
  upstream.reported_in_flight = answer.in_flight;
  const bool refused = answer.outcome == Outcome::kNotRun &&
                       (answer.reason == Reason::kOverloaded ||
                        answer.reason == Reason::kDisplaced);
  if (refused) {
    // The refusal itself takes precedence over the reported level.
    upstream.admission_level =
        std::min(upstream.admission_level, static_cast<uint32_t>(call_class));
  }
}

void RecordAttemptEnd(Upstream& upstream) {
  if (upstream.in_flight > 0) {
    --upstream.in_flight;
  }
}

void StartBackOff(RouteTable& table,
                  Upstream& upstream,
                  absl::Time now,
                  uint64_t random) {
  if (now < upstream.back_off_until) {
    return;
  }
  table.may_have_probes = true;
  const uint32_t doublings =
      std::min(upstream.consecutive_failures, kMaxDoublings);
  const absl::Duration base =
      std::min(kMaxBackOff, kFirstBackOff * (1 << doublings));
  // Jitter, so that the nodes of a service do not probe at the same time.
  upstream.back_off_until = now + base * (0.5 + ToUnitInterval(random));
  ++upstream.consecutive_failures;
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
  SelectSubset(table, locality, now);
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
    const absl::Time started = previous == 0 ? upstream->slow_start_from : now;
    StartIncarnation(*upstream, hello.incarnation, started);
  }
  upstream->consecutive_failures = 0;
  upstream->back_off_until = absl::InfinitePast();
  if (previous != 0 && previous != hello.incarnation) {
    SelectSubset(table, locality, now);
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
    upstream->left_incarnations.push_back(incarnation);
    if (upstream->left_incarnations.size() > kMaxLeftIncarnations) {
      upstream->left_incarnations.erase(upstream->left_incarnations.begin());
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
  table.may_have_probes = true;
  SelectSubset(table, locality, now);
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
  RecordAttemptEnd(*upstream);
  upstream->last_progress = now;
  upstream->consecutive_failures = 0;
  upstream->back_off_until = absl::InfinitePast();
  RecordAdmissionLevel(*upstream, call_class, answer, now);
  const bool good = answer.outcome == Outcome::kCompleted &&
                    answer.status < kFirstServerError;
  // Refusals and errors are fast; counting their delay would attract calls.
  if (good) {
    RecordDelay(table, *upstream, now - sent_at, now);
  } else if (answer.reason != schema::Reason::kRefusedBelow) {
    RecordFailure(*upstream, now);
  }
}

bool AnyUpstreamAdmits(const RouteTable& table,
                       schema::CallClass call_class,
                       absl::Time now) {
  return absl::c_any_of(table.upstreams, [&](const Upstream& upstream) {
    return upstream.in_subset && !upstream.leaving &&
           AdmitsClass(upstream, call_class, now);
  });
}

void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  // An unresponsive upstream must not look idle once its attempts time out.
  if (IsUnresponsive(*upstream, now)) {
    StartBackOff(table, *upstream, now, /*random=*/uint64_t{1} << 63);
  }
  RecordAttemptEnd(*upstream);
  RecordFailure(*upstream, now);
}

void OnConnectionLost(RouteTable& table,
                      absl::string_view vm_id,
                      absl::Time now,
                      uint64_t random) {
  if (Upstream* upstream = Find(table, vm_id)) {
    StartBackOff(table, *upstream, now, random);
  }
}

std::vector<ProbeTarget> DueProbes(RouteTable& table, absl::Time now) {
  std::vector<ProbeTarget> targets;
  if (!table.may_have_probes) {
    return targets;
  }
  table.may_have_probes = false;
  for (const Upstream& upstream : table.upstreams) {
    const bool failing =
        upstream.in_subset && upstream.consecutive_failures > 0;
    if (!failing && !upstream.leaving) {
      continue;
    }
    table.may_have_probes = true;
    if (upstream.back_off_until <= now) {
      targets.push_back({upstream.vm.vm_id, upstream.vm.peer_address});
    }
  }
  return targets;
}

}  // namespace boragepaddle::routing
