#ifndef BORAGEPADDLE_ROUTING_SUBSET_H_
#define BORAGEPADDLE_ROUTING_SUBSET_H_

#include <cstddef>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/routing/locality.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Upstreams of one service that a node talks to, at most.
inline constexpr size_t kMaxSubset = 20;

/// Network distance of a VM from this node.
enum class Distance : uint8_t { kZone, kRegion, kFar };
inline constexpr size_t kDistanceCount = 3;

Distance DistanceOf(const schema::VmEntry& vm, const Locality& locality);

/// Chooses at most kMaxSubset VMs by rendezvous hash of this node and the VM.
/// A change of one VM changes at most one place. Most places go to the own
/// availability zone; some are kept for other zones and regions, so that
/// calls can spill when the zone fails.
std::vector<const schema::VmEntry*> ChooseSubset(
    absl::Span<const schema::VmEntry* const> vms,
    const Locality& locality);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_SUBSET_H_
