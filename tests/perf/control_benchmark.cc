#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boragepaddle/dissemination/config_folder.h"
#include "boragepaddle/dissemination/zone_index.h"
#include "boragepaddle/membership/membership_view.h"
#include "boragepaddle/membership/stable_hash.h"
#include "boragepaddle/node/control.h"

namespace boragepaddle {
namespace {

constexpr size_t kZones = 16;

// Today's, a middle and the target number of VMs.
void FleetSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(100)->Arg(1700)->Arg(25000)->Unit(benchmark::kMicrosecond);
}

std::vector<schema::VmEntry> MakeVms(size_t count) {
  std::vector<schema::VmEntry> vms;
  for (size_t index = 0; index < count; ++index) {
    schema::VmEntry vm;
    vm.vm_id = absl::StrCat("vm-", index);
    vm.member = "bureau";
    vm.service = absl::StrCat("service-", index % 1700);
    vm.availability_zone = absl::StrCat("zone-", index % kZones);
    vm.region = absl::StrCat("region-", index % 5);
    vm.peer_address = absl::StrCat("10.0.0.1:", index);
    vms.push_back(std::move(vm));
  }
  return vms;
}

membership::VmListPtr MakeList(size_t count) {
  return membership::MakeVmList(1, MakeVms(count)).value();
}

dissemination::ZoneIndex MakeZones(const benchmark::State& state) {
  return dissemination::GroupByZone(MakeList(state.range(0)));
}

void ReaderSelection(benchmark::State& state) {
  const dissemination::ZoneIndex zones = MakeZones(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(dissemination::SelectReaders(zones, "zone-3"));
  }
}
BENCHMARK(ReaderSelection)->Apply(&FleetSizes);

void TreeChildren(benchmark::State& state) {
  const dissemination::ZoneIndex zones = MakeZones(state);
  uint64_t version = 0;
  for (auto _ : state) {
    const auto order = dissemination::TreeOrder(zones, "zone-3", ++version, 0);
    benchmark::DoNotOptimize(dissemination::Children(order, "vm-3"));
  }
}
BENCHMARK(TreeChildren)->Apply(&FleetSizes);

void TreeRelays(benchmark::State& state) {
  const dissemination::ZoneIndex zones = MakeZones(state);
  uint64_t version = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        dissemination::Relays(zones, "zone-3", ++version, 0));
  }
}
BENCHMARK(TreeRelays)->Apply(&FleetSizes);

void ListDigest(benchmark::State& state) {
  const membership::VmListPtr list = MakeList(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        membership::DigestOf(absl::MakeConstSpan(list->vms)));
  }
}
BENCHMARK(ListDigest)->Apply(&FleetSizes);

void ListDelta(benchmark::State& state) {
  const membership::VmListPtr from = MakeList(state.range(0));
  std::vector<schema::VmEntry> vms = from->vms;
  vms.back().state = schema::VmState::kLeaving;
  const auto to = membership::MakeVmList(2, std::move(vms)).value();
  membership::ChangeLog log;
  membership::Append(log, {1, 2, membership::ChangedIds(*from, *to)});
  const schema::ListDelta delta = membership::MakeDelta(*to, log, 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(membership::ApplyDelta(*from, delta));
  }
}
BENCHMARK(ListDelta)->Apply(&FleetSizes);

// A delta that changes one of 1,700 files of 1 KB, handled by a node that is
// not a reader, without the check of the configuration.
void ConfigDeltaOnNode(benchmark::State& state) {
  config::Folder files;
  for (size_t index = 0; index < 1700; ++index) {
    files[absl::StrCat(index, ".json")] = std::string(1024, 'x');
  }
  const absl::Time now = absl::FromUnixSeconds(1000);
  node::ControlState control({"vm-3", "zone-3", {}}, [](const auto& /*all*/) {
    return std::vector<node::ConfigFault>();
  });
  const auto vms = MakeVms(state.range(0));
  node::OnControlEvent(control, node::PlatformList{1, vms}, now, 1);
  node::OnControlEvent(control, node::PlatformConfig{1, files}, now, 1);
  uint64_t version = 1;
  for (auto _ : state) {
    state.PauseTiming();
    files["7.json"] = absl::StrCat(++version);
    schema::ConfigDelta delta;
    delta.from_version = version - 1;
    delta.to_version = version;
    delta.digest = config::DigestOf(files);
    delta.files = {{"7.json", files["7.json"], false}};
    const node::PeerMessage event{{"vm-19", "", "zone-3"}, delta};
    state.ResumeTiming();
    benchmark::DoNotOptimize(
        node::OnControlEvent(control, event, now, version));
  }
}
BENCHMARK(ConfigDeltaOnNode)->Apply(&FleetSizes);

void IdleTick(benchmark::State& state) {
  node::ControlState control({"vm-3", "zone-3", {}}, [](const auto& /*all*/) {
    return std::vector<node::ConfigFault>();
  });
  absl::Time now = absl::FromUnixSeconds(1000);
  const auto vms = MakeVms(state.range(0));
  node::OnControlEvent(control, node::ControlStarted(), now, 1);
  node::OnControlEvent(control, node::PlatformList{1, vms}, now, 1);
  uint64_t random = 1;
  for (auto _ : state) {
    now += node::kControlTickInterval;
    random = membership::RendezvousScore(random, "tick");
    benchmark::DoNotOptimize(
        node::OnControlEvent(control, node::ControlTick(), now, random));
  }
}
BENCHMARK(IdleTick)->Apply(&FleetSizes);

}  // namespace
}  // namespace boragepaddle
