#include "boragepaddle/dissemination/zone_index.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "boragepaddle/membership/stable_hash.h"

namespace boragepaddle::dissemination {
namespace {

// Any fixed number; it keeps the readers independent of the trees' orders.
constexpr uint64_t kReaderSeed = 0x7265616465727321;

// One exchange in four goes to another zone, so that a zone without readers
// learns of a change while most traffic stays inside a zone.
constexpr uint64_t kCrossZoneExchangePeriod = 4;

using ScoredVm = std::pair<uint64_t, uint32_t>;

absl::Span<const uint32_t> MembersOf(const ZoneIndex& zones,
                                     absl::string_view zone) {
  const auto found = zones.members.find(std::string(zone));
  if (found == zones.members.end()) {
    return {};
  }
  return found->second;
}

std::vector<std::string> Slice(absl::Span<const std::string> order,
                               size_t first,
                               size_t count) {
  const auto part = order.subspan(std::min(first, order.size()), count);
  return {part.begin(), part.end()};
}

uint64_t TreeSeed(uint64_t version, uint32_t tree) {
  return version * kReadersPerZone + tree;
}

std::vector<ScoredVm> Score(const ZoneIndex& zones,
                            absl::Span<const uint32_t> members,
                            uint64_t seed) {
  std::vector<ScoredVm> scored;
  scored.reserve(members.size());
  for (const uint32_t position : members) {
    const std::string& id = zones.list->vms[position].vm_id;
    scored.emplace_back(membership::RendezvousScore(seed, id), position);
  }
  return scored;
}

/// Member at a random place, or the next one if that is `self`.
std::string PickMember(const ZoneIndex& zones,
                       absl::Span<const uint32_t> members,
                       absl::string_view self,
                       uint64_t random) {
  for (size_t step = 0; step < std::min<size_t>(members.size(), 2); ++step) {
    const uint32_t position = members[(random + step) % members.size()];
    const std::string& id = zones.list->vms[position].vm_id;
    if (id != self) {
      return id;
    }
  }
  return std::string();
}

std::string PickInOtherZone(const ZoneIndex& zones,
                            absl::string_view own_zone,
                            uint64_t random) {
  const size_t own_size = MembersOf(zones, own_zone).size();
  const size_t others = zones.list->vms.size() - own_size;
  size_t index = others == 0 ? 0 : random % others;
  for (const auto& [zone, members] : zones.members) {
    if (zone == own_zone) {
      continue;
    }
    if (index < members.size()) {
      return zones.list->vms[members[index]].vm_id;
    }
    index -= members.size();
  }
  return std::string();
}

}  // namespace

ZoneIndex GroupByZone(const membership::VmListPtr& list) {
  ZoneIndex zones;
  zones.list = list;
  for (uint32_t position = 0; position < list->vms.size(); ++position) {
    zones.members[list->vms[position].availability_zone].push_back(position);
  }
  return zones;
}

std::vector<std::string> SelectReaders(const ZoneIndex& zones,
                                       absl::string_view zone) {
  std::vector<uint32_t> candidates;
  for (const uint32_t position : MembersOf(zones, zone)) {
    if (zones.list->vms[position].state == schema::VmState::kLive) {
      candidates.push_back(position);
    }
  }
  std::vector<ScoredVm> scored = Score(zones, candidates, kReaderSeed);
  const size_t count = std::min(kReadersPerZone, scored.size());
  std::partial_sort(scored.begin(),
                    std::next(scored.begin(), static_cast<ptrdiff_t>(count)),
                    scored.end());
  std::vector<std::string> readers;
  for (size_t rank = 0; rank < count; ++rank) {
    readers.push_back(zones.list->vms[scored[rank].second].vm_id);
  }
  return readers;
}

size_t ReaderRank(const ZoneIndex& zones,
                  absl::string_view zone,
                  absl::string_view vm_id) {
  const std::vector<std::string> readers = SelectReaders(zones, zone);
  const auto found = std::find(readers.begin(), readers.end(), vm_id);
  return found == readers.end() ? kReadersPerZone : found - readers.begin();
}

std::vector<std::string> TreeOrder(const ZoneIndex& zones,
                                   absl::string_view zone,
                                   uint64_t version,
                                   uint32_t tree) {
  std::vector<ScoredVm> scored =
      Score(zones, MembersOf(zones, zone), TreeSeed(version, tree));
  std::sort(scored.begin(), scored.end());
  std::vector<std::string> order;
  order.reserve(scored.size());
  for (const ScoredVm& entry : scored) {
    order.push_back(zones.list->vms[entry.second].vm_id);
  }
  return order;
}

std::vector<std::string> RootChildren(
    absl::Span<const std::string> tree_order) {
  return Slice(tree_order, 0, kFanOut);
}

std::vector<std::string> Children(absl::Span<const std::string> tree_order,
                                  absl::string_view vm_id) {
  const auto self = std::find(tree_order.begin(), tree_order.end(), vm_id);
  if (self == tree_order.end()) {
    return {};
  }
  // The first kFanOut places belong to the entry node, the next ones to the
  // VM in the first place, and so on.
  const size_t place = self - tree_order.begin();
  return Slice(tree_order, (place + 1) * kFanOut, kFanOut);
}

std::vector<std::string> Relays(const ZoneIndex& zones,
                                absl::string_view own_zone,
                                uint64_t version,
                                uint32_t tree) {
  std::vector<std::string> relays;
  for (const auto& [zone, members] : zones.members) {
    if (zone == own_zone) {
      continue;
    }
    const std::vector<ScoredVm> scored =
        Score(zones, members, TreeSeed(version, tree));
    const auto first = std::min_element(scored.begin(), scored.end());
    relays.push_back(zones.list->vms[first->second].vm_id);
  }
  return relays;
}

std::string PickExchangePeer(const ZoneIndex& zones,
                             absl::string_view own_zone,
                             absl::string_view self,
                             uint64_t random) {
  const uint64_t place = random / kCrossZoneExchangePeriod;
  if (random % kCrossZoneExchangePeriod == 0) {
    std::string peer = PickInOtherZone(zones, own_zone, place);
    if (!peer.empty()) {
      return peer;
    }
  }
  std::string peer = PickMember(zones, MembersOf(zones, own_zone), self, place);
  return peer.empty() ? PickInOtherZone(zones, own_zone, place) : peer;
}

}  // namespace boragepaddle::dissemination
