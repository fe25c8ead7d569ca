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

/// Number of VMs per availability zone that read and watch the platform.
inline constexpr size_t kReadersPerZone = 3;

/// Number of children of a node in a distribution tree.
inline constexpr size_t kFanOut = 8;

/// VMs of a list by availability zone, as indexes into `VmList::vms`.
struct ZoneIndex {
  membership::VmListPtr list = std::make_shared<const membership::VmList>();
  std::map<std::string, std::vector<uint32_t>> members;
};

/// Groups a list by availability zone.
ZoneIndex GroupByZone(const membership::VmListPtr& list);

/// Ids of the readers of a zone, by rank. They are selected by rendezvous
/// hashing among the VMs that are not leaving, so that all nodes with the same
/// list select the same readers.
std::vector<std::string> SelectReaders(const ZoneIndex& zones,
                                       absl::string_view zone);

/// Rank of a VM among the readers of its zone; kReadersPerZone if it is not a
/// reader.
size_t ReaderRank(const ZoneIndex& zones,
                  absl::string_view zone,
                  absl::string_view vm_id);

/// Order of a zone's VMs in the distribution tree of one version. `tree` is the
/// rank of the reader at its root.
std::vector<std::string> TreeOrder(const ZoneIndex& zones,
                                   absl::string_view zone,
                                   uint64_t version,
                                   uint32_t tree);

/// First kFanOut VMs of the order: the children of the node through which the
/// version enters the zone.
std::vector<std::string> RootChildren(absl::Span<const std::string> tree_order);

/// VMs to which `vm_id` forwards a version; empty if it has no children.
std::vector<std::string> Children(absl::Span<const std::string> tree_order,
                                  absl::string_view vm_id);

/// VMs that relay a version into the other zones: for each zone but `own_zone`,
/// the first VM of its tree order.
std::vector<std::string> Relays(const ZoneIndex& zones,
                                absl::string_view own_zone,
                                uint64_t version,
                                uint32_t tree);

/// Peer for a digest exchange, never `own_id`. One in four is in another zone.
/// Empty if there is no other VM.
std::string PickExchangePeer(const ZoneIndex& zones,
                             absl::string_view own_zone,
                             absl::string_view own_id,
                             uint64_t random);

}  // namespace boragepaddle::dissemination

#endif  // BORAGEPADDLE_DISSEMINATION_ZONE_INDEX_H_
