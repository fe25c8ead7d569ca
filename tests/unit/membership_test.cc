#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "boragepaddle/membership/membership_view.h"
#include "boragepaddle/membership/stable_hash.h"
#include "boragepaddle/membership/vm_list.h"

namespace boragepaddle::membership {
namespace {

absl::Time Now() {
  return absl::FromUnixSeconds(1000);
}

schema::VmEntry Vm(const std::string& id) {
  return {id,         "bureau",      "catalogue",           "tamsui",
          "tw-north", "127.0.0.1:1", schema::VmState::kLive};
}

VmListPtr List(uint64_t version, std::vector<schema::VmEntry> vms) {
  return MakeVmList(version, std::move(vms)).value();
}

schema::VmEntry LeavingVm(const std::string& id) {
  schema::VmEntry vm = Vm(id);
  vm.state = schema::VmState::kLeaving;
  return vm;
}

bool IsLive(const MembershipView& view, const std::string& id) {
  for (const LiveUpstream& upstream : LiveUpstreams(view, "catalogue")) {
    if (upstream.vm.vm_id == id) {
      return true;
    }
  }
  return false;
}

// Guards against a digest that differs between processes or builds: nodes of
// one fleet would then take every version for a conflict. The value was
// recorded with libxxhash 0.8.1.
TEST_CASE("membership: the digest is the same in every process") {
  const std::vector<schema::VmEntry> vms = {Vm("a"), Vm("b")};
  CHECK(DigestOf(absl::MakeConstSpan(vms)) == 395298482057183861ULL);
}

TEST_CASE("membership: the digest does not depend on the order of arrival") {
  CHECK(List(1, {Vm("a"), Vm("b")})->digest ==
        List(1, {Vm("b"), Vm("a")})->digest);
  CHECK(List(1, {Vm("a")})->digest != List(1, {LeavingVm("a")})->digest);
}

TEST_CASE("membership: a delta reproduces the newer list") {
  const VmListPtr from = List(4, {Vm("a"), Vm("b"), Vm("c")});
  const VmListPtr to = List(9, {Vm("a"), LeavingVm("b"), Vm("d")});
  CHECK(ChangedIds(*from, *to) == std::vector<std::string>{"b", "c", "d"});
  ChangeLog log;
  Append(log, {4, 9, ChangedIds(*from, *to)});
  const schema::ListDelta delta = MakeDelta(*to, log, 4);
  CHECK(delta.changed.size() == 2);
  CHECK(delta.removed == std::vector<std::string>{"c"});
  const auto applied = ApplyDelta(*from, delta);
  REQUIRE(applied.has_value());
  CHECK(applied.value()->vms == to->vms);
  CHECK(applied.value()->version == 9);
}

TEST_CASE("membership: a delta from before the log holds all VMs") {
  const VmListPtr list = List(9, {Vm("a"), Vm("b")});
  ChangeLog log;
  Append(log, {8, 9, {"b"}});
  CHECK(MakeDelta(*list, log, 8).changed.size() == 1);
  CHECK(MakeDelta(*list, log, 7).from_version == 0);
  CHECK(MakeDelta(*list, log, 7).changed.size() == 2);
}

// Guards against silent divergence when a VM came and went between two versions
// of the sender.
TEST_CASE("membership: a delta whose result has another digest is refused") {
  const VmListPtr target = List(9, {Vm("a")});
  ChangeLog log;
  Append(log, {8, 9, {}});
  const auto applied =
      ApplyDelta(*List(8, {Vm("a"), Vm("gone")}), MakeDelta(*target, log, 8));
  REQUIRE_FALSE(applied.has_value());
  CHECK(applied.error().code == VersionErrorCode::kDigestMismatch);
}

TEST_CASE("membership: a delta that starts later than the list is refused") {
  schema::ListDelta delta;
  delta.from_version = 9;
  delta.to_version = 10;
  const auto applied = ApplyDelta(*List(8, {}), delta);
  REQUIRE_FALSE(applied.has_value());
  CHECK(applied.error().code == VersionErrorCode::kMissingBase);
}

TEST_CASE("membership: a list with two entries for one VM is refused") {
  const auto list = MakeVmList(1, {Vm("a"), Vm("a")});
  REQUIRE_FALSE(list.has_value());
  CHECK(list.error().code == VersionErrorCode::kDuplicateEntry);
}

TEST_CASE("membership: versions of the list only grow") {
  MembershipView view;
  REQUIRE(ApplyList(view, List(5, {Vm("a")})).has_value());
  CHECK(ApplyList(view, List(4, {})).error().code ==
        VersionErrorCode::kOlderVersion);
  CHECK(ApplyList(view, List(5, {Vm("a")})).error().code ==
        VersionErrorCode::kSameVersion);
  CHECK(ApplyList(view, List(5, {Vm("b")})).error().code ==
        VersionErrorCode::kDigestConflict);
  CHECK(IsLive(view, "a"));
}

// Guards R6: a lagging list must not bring a leaving incarnation back.
TEST_CASE("membership: a list never brings back an incarnation that left") {
  MembershipView view;
  REQUIRE(ApplyList(view, List(1, {Vm("a")})).has_value());
  CHECK(ApplyPeerReport(view, {"a", 11, false}, Now()));
  CHECK(IsLive(view, "a"));
  CHECK(ApplyPeerReport(view, {"a", 11, true}, Now()));
  CHECK_FALSE(IsLive(view, "a"));
  REQUIRE(ApplyList(view, List(2, {Vm("a")})).has_value());
  CHECK_FALSE(IsLive(view, "a"));
  CHECK(ApplyPeerReport(view, {"a", 11, false}, Now()));
  CHECK_FALSE(IsLive(view, "a"));
}

TEST_CASE("membership: a new incarnation is a new upstream") {
  MembershipView view;
  REQUIRE(ApplyList(view, List(1, {LeavingVm("a")})).has_value());
  CHECK_FALSE(IsLive(view, "a"));
  CHECK(ApplyPeerReport(view, {"a", 11, true}, Now()));
  CHECK(ApplyPeerReport(view, {"a", 12, false}, Now()));
  REQUIRE(IsLive(view, "a"));
  CHECK(LiveUpstreams(view, "catalogue")[0].incarnation == 12);
}

// Guards against a late message of a replaced process that makes the new one
// look old or leaving.
TEST_CASE("membership: a late statement of an earlier incarnation is ignored") {
  MembershipView view;
  REQUIRE(ApplyList(view, List(1, {Vm("a")})).has_value());
  ApplyPeerReport(view, {"a", 11, false}, Now());
  ApplyPeerReport(view, {"a", 12, false}, Now());
  CHECK_FALSE(ApplyPeerReport(view, {"a", 11, false}, Now()));
  CHECK_FALSE(ApplyPeerReport(view, {"a", 11, true}, Now()));
  CHECK(IsLive(view, "a"));
  CHECK(LiveUpstreams(view, "catalogue")[0].incarnation == 12);
}

TEST_CASE("membership: the list's leaving holds for the known incarnation") {
  MembershipView view;
  ApplyPeerReport(view, {"a", 11, false}, Now());
  REQUIRE(ApplyList(view, List(1, {LeavingVm("a")})).has_value());
  ApplyPeerReport(view, {"a", 11, false}, Now());
  CHECK_FALSE(IsLive(view, "a"));
  ApplyPeerReport(view, {"a", 12, false}, Now());
  CHECK(IsLive(view, "a"));
}

// Guards against growth of memory with each replaced VM.
TEST_CASE("membership: statements of unlisted VMs are forgotten") {
  MembershipView view;
  ApplyPeerReport(view, {"gone", 11, true}, Now());
  Prune(view, Now() + absl::Minutes(9));
  CHECK(IsLeaving(view, "gone"));
  Prune(view, Now() + absl::Minutes(11));
  CHECK(view.statuses.empty());
}

}  // namespace
}  // namespace boragepaddle::membership
