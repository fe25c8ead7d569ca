#ifndef BORAGEPADDLE_ROUTING_SUBSET_H_
#define BORAGEPADDLE_ROUTING_SUBSET_H_

#include <cstddef>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/routing/locality.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Maximum number of upstreams of one service that a node uses.
inline constexpr size_t kMaxSubset = 20;

/// Network distance of a VM from this node.
enum class Distance : uint8_t { kZone, kRegion, kFar };
inline constexpr size_t kDistanceCount = 3;

Distance DistanceOf(const schema::VmEntry& vm, const Locality& locality);

/// Selects at most kMaxSubset VMs by rendezvous hashing of this node and the
/// VM. A change of one VM changes at most one member. Most members are in the
/// node's own availability zone; some are in other zones and regions, so that
/// calls can spill over when the zone fails.
std::vector<const schema::VmEntry*> ChooseSubset(
    absl::Span<const schema::VmEntry* const> vms,
    const Locality& locality);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_SUBSET_H_
