#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "boragepaddle/routing/subset.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle::routing {
namespace {

using schema::CallClass;
using schema::Outcome;
using schema::Reason;

RouteTable MakeTable(int count) {
  RouteTable table;
  SetUpstreams(table, kHere, MakeVms(count), kStart);
  return table;
}

void Complete(RouteTable& table, const std::string& vm, int sent, int ended) {
  OnSent(table, vm, At(sent));
  OnAnswer(table, vm, CallClass::kStandard, MakeAnswer(Outcome::kCompleted),
           At(sent), At(ended));
}

std::set<std::string> Subset(const std::vector<schema::VmEntry>& vms) {
  std::vector<const schema::VmEntry*> all;
  all.reserve(vms.size());
  for (const auto& vm : vms) {
    all.push_back(&vm);
  }
  std::set<std::string> ids;
  for (const auto* vm : ChooseSubset(all, kHere)) {
    ids.insert(vm->vm_id);
  }
  return ids;
}

// Guards against replacing all connections when one VM is replaced, and against
// a subset without a second zone for failover.
TEST_CASE(
    "subset: 20 of 200 VMs, mostly in the own zone, stable when one is lost") {
  std::vector<schema::VmEntry> vms;
  vms.reserve(200);
  for (int i = 0; i < 200; ++i) {
    vms.push_back(MakeVm(absl::StrCat("vm-", i), i % 4 ? "banqiao" : "tamsui",
                         i % 5 ? "tw-north" : "salish-coast"));
  }
  const std::set<std::string> before = Subset(vms);
  CHECK(before.size() == kMaxSubset);
  const auto own = [](const schema::VmEntry& vm) {
    return DistanceOf(vm, kHere) == Distance::kZone;
  };
  int own_count = 0;
  for (const auto& vm : vms) {
    own_count += before.count(vm.vm_id) > 0 && own(vm);
  }
  CHECK(own_count == 12);
  const auto removed =
      std::find_if(vms.begin(), vms.end(),
                   [&](const auto& vm) { return before.count(vm.vm_id) > 0; });
  vms.erase(removed);
  const std::set<std::string> after = Subset(vms);
  std::vector<std::string> kept;
  std::set_intersection(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(kept));
  CHECK(kept.size() == kMaxSubset - 1);
}

// Guards against new calls to a leaving VM while the VM list lags and still
// names it as live (R6).
TEST_CASE("routing: a lagging list does not undo a leaving mark") {
  RouteTable table = MakeTable(2);
  OnHello(table, kHere, MakeHello("vm-0", 7), kStart);
  OnLeaving(table, kHere, "vm-0", 7, At(10));
  CHECK(CountPicks(table, "vm-0", At(11), 100) == 0);
  SetUpstreams(table, kHere, MakeVms(2), At(29000));
  OnHello(table, kHere, MakeHello("vm-0", 7), At(29001));
  CHECK(CountPicks(table, "vm-0", At(29002), 100) == 0);
  OnHello(table, kHere, MakeHello("vm-0", 8), At(29003));
  CHECK(CountPicks(table, "vm-0", At(60000), 100) > 30);
  // A late message from the old incarnation must not affect the new one.
  OnLeaving(table, kHere, "vm-0", 7, At(60001));
  CHECK(CountPicks(table, "vm-0", At(60002), 100) > 30);
}

// Guards against a leaving VM that becomes eligible again after it was missing
// from one list.
TEST_CASE("routing: a leaving mark survives a gap in the list") {
  RouteTable table = MakeTable(2);
  OnLeaving(table, kHere, "vm-0", 7, At(0));
  SetUpstreams(table, kHere, {MakeVm("vm-1")}, At(10));
  SetUpstreams(table, kHere, MakeVms(2), At(20));
  CHECK(CountPicks(table, "vm-0", At(21), 100) == 0);
}

// Guards against full load on an upstream that has just started.
TEST_CASE("routing: a new incarnation gets a growing share") {
  RouteTable table = MakeTable(2);
  OnHello(table, kHere, MakeHello("vm-0", 1), At(0));
  OnHello(table, kHere, MakeHello("vm-0", 2), At(1000));
  const int early = CountPicks(table, "vm-0", At(1000), 2000);
  const int middle = CountPicks(table, "vm-0", At(3500), 2000);
  const int late = CountPicks(table, "vm-0", At(6000), 2000);
  CHECK(early < 400);
  CHECK(middle > early + 200);
  CHECK(late > 800);
}

// Guards against calls that accumulate at a frozen process until their
// deadlines.
TEST_CASE(
    "routing: an unresponsive upstream gets nothing, then single attempts") {
  RouteTable table = MakeTable(2);
  Complete(table, "vm-0", 0, 5);
  Complete(table, "vm-1", 0, 5);
  OnSent(table, "vm-0", At(10));
  CHECK(CountPicks(table, "vm-0", At(130), 200) == 0);
  OnAttemptLost(table, "vm-0", At(2000));
  CHECK(CountPicks(table, "vm-0", At(2001), 200) == 0);
  CHECK(CountPicks(table, "vm-0", At(2300), 200) > 0);
  OnSent(table, "vm-0", At(2300));
  CHECK(CountPicks(table, "vm-0", At(2301), 200) == 0);
  OnAnswer(table, "vm-0", CallClass::kStandard, MakeAnswer(Outcome::kCompleted),
           At(2300), At(2305));
  CHECK(CountPicks(table, "vm-0", At(2306), 200) > 40);
}

// Guards against an upstream that is no longer used after it was frozen and
// answered late once.
TEST_CASE("routing: one slow answer does not exclude an upstream permanently") {
  RouteTable table = MakeTable(2);
  for (int i = 0; i < 20; ++i) {
    Complete(table, "vm-1", i, i + 5);
  }
  Complete(table, "vm-0", 0, 1000);
  CHECK(CountPicks(table, "vm-0", At(1001), 200) < 70);
  OnSent(table, "vm-1", At(6000));
  CHECK(CountPicks(table, "vm-0", At(6000), 200) > 100);
}

// Guards against an upstream that attracts all calls because it refuses or
// fails fast.
TEST_CASE("routing: fast errors do not attract calls") {
  RouteTable table = MakeTable(2);
  Complete(table, "vm-1", 0, 20);
  for (int i = 0; i < 10; ++i) {
    OnSent(table, "vm-0", At(20 + i));
    schema::CallAnswer answer = MakeAnswer(Outcome::kCompleted);
    answer.status = 500;
    OnAnswer(table, "vm-0", CallClass::kStandard, answer, At(20 + i),
             At(20 + i));
  }
  CHECK(CountPicks(table, "vm-0", At(31), 1000) < 350);
  CHECK(CountPicks(table, "vm-0", At(3000), 1000) > 400);
}

TEST_CASE("routing: the own zone is preferred and spills over when slower") {
  RouteTable table;
  SetUpstreams(table, kHere,
               {MakeVm("near"), MakeVm("next", "banqiao"),
                MakeVm("far", "westport", "salish-coast")},
               kStart);
  for (const char* vm : {"near", "next", "far"}) {
    Complete(table, vm, 0, 10);
  }
  CHECK(CountPicks(table, "near", At(20), 100) == 100);
  OnSent(table, "near", At(20));
  OnSent(table, "near", At(20));
  CHECK(CountPicks(table, "next", At(20), 100) == 100);
}

TEST_CASE("routing: a refused class goes to upstreams that admit it, briefly") {
  RouteTable table = MakeTable(2);
  OnSent(table, "vm-0", At(0));
  OnAnswer(table, "vm-0", CallClass::kStandard,
           MakeAnswer(Outcome::kNotRun, Reason::kOverloaded, 1), At(0), At(0));
  CHECK(CountPicks(table, "vm-0", At(10), 100) == 0);
  CHECK(CountPicks(table, "vm-0", At(10), 100, CallClass::kMember) > 0);
  // An admission level that outlasts the overload would delay the recovery.
  CHECK(CountPicks(table, "vm-0", At(60), 100) > 0);
}

// Guards against a back-off that grows with the number of attempts in flight.
TEST_CASE("routing: one lost connection is counted once; repeats back off") {
  RouteTable table = MakeTable(2);
  for (int i = 0; i < 50; ++i) {
    OnConnectionLost(table, "vm-0", At(0), 0);
  }
  CHECK(FindUpstream(table, "vm-0")->consecutive_failures == 1);
  CHECK(CountPicks(table, "vm-0", At(1), 100) == 0);
  CHECK(DueProbes(table, At(200)).size() == 1);
  OnConnectionLost(table, "vm-0", At(200), 0);
  CHECK(FindUpstream(table, "vm-0")->back_off_until == At(300));
  OnHello(table, kHere, MakeHello("vm-0", 2), At(210));
  CHECK(DueProbes(table, At(400)).empty());
}

TEST_CASE("routing: upstreams in back-off are a last resort") {
  RouteTable table = MakeTable(1);
  OnConnectionLost(table, "vm-0", At(0), 0);
  CHECK(CountPicks(table, "vm-0", At(1), 10) == 10);
}

}  // namespace
}  // namespace boragepaddle::routing
