#include "boragepaddle/routing/subset.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::routing {

namespace {

// Subset size by distance. Places that one distance cannot fill go to the
// nearest distance with more VMs.
constexpr std::array<size_t, kDistanceCount> kQuotas = {12, 6, 2};
static_assert(kQuotas[0] + kQuotas[1] + kQuotas[2] == kMaxSubset);

struct Scored {
  uint64_t score = 0;
  const schema::VmEntry* vm = nullptr;
};

using Groups = std::array<std::vector<Scored>, kDistanceCount>;

bool HasHigherScore(const Scored& a, const Scored& b) {
  if (a.score != b.score) {
    return a.score > b.score;
  }
  return a.vm->vm_id < b.vm->vm_id;
}

Groups GroupByDistance(absl::Span<const schema::VmEntry* const> vms,
                       const Locality& locality) {
  Groups groups;
  for (const schema::VmEntry* vm : vms) {
    const auto distance = static_cast<size_t>(DistanceOf(*vm, locality));
    const uint64_t score = base::StableHash({locality.vm_id, vm->vm_id});
    groups[distance].push_back({score, vm});
  }
  for (std::vector<Scored>& group : groups) {
    std::sort(group.begin(), group.end(), HasHigherScore);
  }
  return groups;
}

}  // namespace

Distance DistanceOf(const schema::VmEntry& vm, const Locality& locality) {
  if (vm.region != locality.region) {
    return Distance::kFar;
  }
  return vm.availability_zone == locality.availability_zone ? Distance::kZone
                                                            : Distance::kRegion;
}

std::vector<const schema::VmEntry*> ChooseSubset(
    absl::Span<const schema::VmEntry* const> vms,
    const Locality& locality) {
  if (vms.size() <= kMaxSubset) {
    return {vms.begin(), vms.end()};
  }
  const Groups groups = GroupByDistance(vms, locality);
  std::array<size_t, kDistanceCount> counts{};
  size_t total = 0;
  for (size_t i = 0; i < kDistanceCount; ++i) {
    counts[i] = std::min(kQuotas[i], groups[i].size());
    total += counts[i];
  }
  for (size_t i = 0; i < kDistanceCount; ++i) {
    const size_t extra =
        std::min(kMaxSubset - total, groups[i].size() - counts[i]);
    counts[i] += extra;
    total += extra;
  }
  std::vector<const schema::VmEntry*> chosen;
  for (size_t i = 0; i < kDistanceCount; ++i) {
    for (size_t k = 0; k < counts[i]; ++k) {
      chosen.push_back(groups[i][k].vm);
    }
  }
  return chosen;
}

}  // namespace boragepaddle::routing
