#ifndef BORAGEPADDLE_DISSEMINATION_ZONE_INDEX_H_
#define BORAGEPADDLE_DISSEMINATION_ZONE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/membership/vm_list.h"

namespace boragepaddle::dissemination {

/// VMs that read and watch the platform in each availability zone.
inline constexpr size_t kReadersPerZone = 3;

/// Children of a node in a spreading tree.
inline constexpr size_t kFanOut = 8;

/// VMs of the list by availability zone; positions in `VmList::vms`.
struct ZoneIndex {
  membership::VmListPtr list = std::make_shared<const membership::VmList>();
  std::map<std::string, std::vector<uint32_t>> members;
};

/// Groups a list by availability zone.
ZoneIndex GroupByZone(const membership::VmListPtr& list);

/// Ids of the readers of a zone by rendezvous hash over its VMs that are not
/// leaving, first reader first. Every node computes the same from the same
/// list.
std::vector<std::string> SelectReaders(const ZoneIndex& zones,
                                       absl::string_view zone);

/// Place of a VM among the readers of its zone; kReadersPerZone if it is none.
size_t ReaderRank(const ZoneIndex& zones,
                  absl::string_view zone,
                  absl::string_view vm_id);

/// Order of a zone's VMs in the spreading tree of one version; `tree` is the
/// rank of the reader that starts it.
std::vector<std::string> TreeOrder(const ZoneIndex& zones,
                                   absl::string_view zone,
                                   uint64_t version,
                                   uint32_t tree);

/// First kFanOut VMs of the order: they get a version from the node at which it
/// enters the zone.
std::vector<std::string> RootChildren(absl::Span<const std::string> tree_order);

/// VMs to which `vm_id` passes a version on; empty if it has no children.
std::vector<std::string> Children(absl::Span<const std::string> tree_order,
                                  absl::string_view vm_id);

/// One VM in each zone other than `own_zone`: the first of its order.
std::vector<std::string> Relays(const ZoneIndex& zones,
                                absl::string_view own_zone,
                                uint64_t version,
                                uint32_t tree);

/// Peer for a digest exchange other than `self`; one in four is in another
/// zone. Empty if there is no other VM.
std::string PickExchangePeer(const ZoneIndex& zones,
                             absl::string_view own_zone,
                             absl::string_view self,
                             uint64_t random);

}  // namespace boragepaddle::dissemination

#endif  // BORAGEPADDLE_DISSEMINATION_ZONE_INDEX_H_
