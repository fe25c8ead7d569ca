#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boragepaddle/dissemination/config_folder.h"
#include "boragepaddle/dissemination/sync_state.h"
#include "boragepaddle/dissemination/zone_index.h"

namespace boragepaddle::dissemination {
namespace {

using membership::VersionErrorCode;

absl::Time Now() {
  return absl::FromUnixSeconds(1000);
}

ZoneIndex MakeZones(size_t vms_per_zone) {
  std::vector<schema::VmEntry> vms;
  for (const std::string zone : {"banqiao", "keelung", "tamsui"}) {
    for (size_t index = 0; index < vms_per_zone; ++index) {
      schema::VmEntry vm;
      vm.vm_id = absl::StrCat(zone, "-", index);
      vm.availability_zone = zone;
      vms.push_back(vm);
    }
  }
  return GroupByZone(membership::MakeVmList(1, std::move(vms)).value());
}

TEST_CASE("dissemination: a zone has three readers, none of them leaving") {
  const ZoneIndex zones = MakeZones(20);
  const std::vector<std::string> readers = SelectReaders(zones, "tamsui");
  REQUIRE(readers.size() == 3);
  CHECK(ReaderRank(zones, "tamsui", readers[1]) == 1);
  std::vector<schema::VmEntry> vms = zones.list->vms;
  for (schema::VmEntry& vm : vms) {
    if (vm.vm_id == readers[0]) {
      vm.state = schema::VmState::kLeaving;
    }
  }
  const ZoneIndex next = GroupByZone(membership::MakeVmList(2, vms).value());
  CHECK(SelectReaders(next, "tamsui")[0] == readers[1]);
  CHECK(ReaderRank(next, "tamsui", readers[0]) == kReadersPerZone);
  CHECK(SelectReaders(next, "nowhere").empty());
}

// Guards against a tree that leaves out or repeats VMs.
TEST_CASE("dissemination: the tree reaches each VM of a zone exactly once") {
  for (const size_t size : {1, 7, 8, 9, 73, 200}) {
    const ZoneIndex zones = MakeZones(size);
    const auto order = TreeOrder(zones, "tamsui", 7, 0);
    std::vector<std::string> reached = RootChildren(order);
    for (size_t index = 0; index < reached.size(); ++index) {
      const auto children = Children(order, reached[index]);
      CHECK(children.size() <= kFanOut);
      reached.insert(reached.end(), children.begin(), children.end());
    }
    CHECK(reached.size() == size);
    CHECK(std::set<std::string>(reached.begin(), reached.end()).size() == size);
  }
}

TEST_CASE("dissemination: trees differ by version and by reader") {
  const ZoneIndex zones = MakeZones(50);
  const auto order = TreeOrder(zones, "tamsui", 7, 0);
  CHECK(order != TreeOrder(zones, "tamsui", 8, 0));
  CHECK(order != TreeOrder(zones, "tamsui", 7, 1));
  const auto relays = Relays(zones, "tamsui", 7, 0);
  REQUIRE(relays.size() == 2);
  CHECK(relays[0] == TreeOrder(zones, "banqiao", 7, 0)[0]);
}

TEST_CASE("dissemination: one exchange in four crosses zones") {
  const ZoneIndex zones = MakeZones(20);
  size_t crossing = 0;
  for (uint64_t random = 0; random < 4000; ++random) {
    const std::string peer =
        PickExchangePeer(zones, "tamsui", "tamsui-3", random);
    CHECK(peer != "tamsui-3");
    crossing += peer.find("tamsui") == 0 ? 0 : 1;
  }
  CHECK(crossing == 1000);
}

TEST_CASE("dissemination: a node alone in the list has no exchange peer") {
  schema::VmEntry vm;
  vm.vm_id = "only";
  vm.availability_zone = "tamsui";
  const ZoneIndex zones = GroupByZone(membership::MakeVmList(1, {vm}).value());
  for (uint64_t random = 0; random < 8; ++random) {
    CHECK(PickExchangePeer(zones, "tamsui", "only", random).empty());
  }
}

TEST_CASE("dissemination: a folder delta adds, changes and removes files") {
  const auto from = MakeFolder(3, {{"a", "1"}, {"b", "2"}, {"c", "3"}});
  const auto to = MakeFolder(5, {{"a", "1"}, {"b", "9"}, {"d", "4"}});
  membership::ChangeLog log;
  membership::Append(log, {3, 5, ChangedNames(*from, *to)});
  const schema::ConfigDelta delta = MakeDelta(*to, log, 3);
  CHECK(delta.files.size() == 3);
  const auto applied = ApplyDelta(*from, delta);
  REQUIRE(applied.has_value());
  CHECK(applied.value()->files == to->files);
  const auto on_other_base = ApplyDelta(*MakeFolder(4, {{"x", ""}}), delta);
  REQUIRE_FALSE(on_other_base.has_value());
  CHECK(on_other_base.error().code == VersionErrorCode::kDigestMismatch);
}

TEST_CASE("dissemination: offers are compared with held and refused versions") {
  SyncState state;
  NoteHeld(state, {5, 50});
  NoteRefused(state, {7, 70});
  CHECK(Compare(state, {4, 40}) == VersionRelation::kOlder);
  CHECK(Compare(state, {5, 50}) == VersionRelation::kSame);
  CHECK(Compare(state, {5, 51}) == VersionRelation::kConflict);
  CHECK(Compare(state, {6, 60}) == VersionRelation::kNewer);
  CHECK(Compare(state, {7, 70}) == VersionRelation::kRefused);
  CHECK(Compare(state, {7, 71}) == VersionRelation::kConflict);
  CHECK(Compare(state, {8, 80}) == VersionRelation::kNewer);
}

// Guards against a node that waits for a frozen source for ever.
TEST_CASE("dissemination: a fetch without answer goes to the next source") {
  SyncState state;
  NoteHeld(state, {5, 50});
  NoteOffer(state, {6, 60}, {"a", "", ""}, Now());
  NoteOffer(state, {6, 60}, {"b", "", ""}, Now());
  NoteOffer(state, {6, 60}, {"a", "", ""}, Now());
  const auto first = TakeDueFetch(state, Now());
  REQUIRE(first.has_value());
  CHECK(first->source.vm_id == "a");
  CHECK(first->from_version == 5);
  CHECK_FALSE(TakeDueFetch(state, Now()).has_value());
  const auto second = TakeDueFetch(state, Now() + absl::Seconds(1));
  REQUIRE(second.has_value());
  CHECK(second->source.vm_id == "b");
  NoteHeld(state, {6, 60});
  CHECK_FALSE(TakeDueFetch(state, Now() + absl::Seconds(9)).has_value());
}

TEST_CASE("dissemination: an announcement is passed on once for each tree") {
  SyncState state;
  CHECK(MarkAnnounced(state, 6, 1));
  CHECK_FALSE(MarkAnnounced(state, 6, 1));
  CHECK(MarkAnnounced(state, 6, 2));
  CHECK(MarkAnnounced(state, 7, 1));
  CHECK_FALSE(MarkAnnounced(state, 6, 0));
}

}  // namespace
}  // namespace boragepaddle::dissemination
