#include "boragepaddle/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace boragepaddle::routing {

namespace {

constexpr absl::Duration kAvoidAfterLoss = absl::Milliseconds(500);

Upstream* Find(RouteTable& table, absl::string_view vm_id) {
  for (Upstream& upstream : table.upstreams) {
    if (upstream.vm.vm_id == vm_id) {
      return &upstream;
    }
  }
  return nullptr;
}

bool IsCandidate(const Upstream& upstream,
                 absl::Span<const std::string> exclude,
                 absl::Time now) {
  return upstream.vm.state == schema::VmState::kLive &&
         upstream.avoid_until <= now &&
         std::find(exclude.begin(), exclude.end(), upstream.vm.vm_id) ==
             exclude.end();
}

}  // namespace

void SetUpstreams(RouteTable& table, absl::Span<const schema::VmEntry> vms) {
  std::vector<Upstream> upstreams;
  for (const schema::VmEntry& vm : vms) {
    Upstream upstream;
    if (const Upstream* known = Find(table, vm.vm_id)) {
      upstream = *known;
    }
    upstream.vm = vm;
    upstreams.push_back(std::move(upstream));
  }
  table.upstreams = std::move(upstreams);
}

const Upstream* PickUpstream(const RouteTable& table,
                             const Locality& locality,
                             absl::Span<const std::string> exclude,
                             absl::Time now,
                             uint64_t random) {
  std::vector<const Upstream*> candidates;
  for (const Upstream& upstream : table.upstreams) {
    if (IsCandidate(upstream, exclude, now)) {
      candidates.push_back(&upstream);
    }
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const uint64_t low = random & 0xffffffff;
  const uint64_t high = random >> 32;
  const Upstream* first = candidates[low % candidates.size()];
  const Upstream* second = candidates[high % candidates.size()];
  if (first->in_flight != second->in_flight) {
    return first->in_flight < second->in_flight ? first : second;
  }
  const bool local = first->vm.availability_zone == locality.availability_zone;
  return local ? first : second;
}

void OnSent(RouteTable& table, absl::string_view vm_id) {
  if (Upstream* upstream = Find(table, vm_id)) {
    ++upstream->in_flight;
  }
}

void OnAnswer(RouteTable& table,
              absl::string_view vm_id,
              const schema::CallAnswer& /*answer*/,
              absl::Time /*now*/) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream != nullptr && upstream->in_flight > 0) {
    --upstream->in_flight;
  }
}

void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now) {
  Upstream* upstream = Find(table, vm_id);
  if (upstream == nullptr) {
    return;
  }
  if (upstream->in_flight > 0) {
    --upstream->in_flight;
  }
  upstream->avoid_until = now + kAvoidAfterLoss;
}

}  // namespace boragepaddle::routing
