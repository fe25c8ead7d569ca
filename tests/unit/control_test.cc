#include "boragepaddle/node/control.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/unit/control_pump.h"

namespace boragepaddle::node {
namespace {

using membership::VersionErrorCode;

TEST_CASE("control: three readers of each zone watch the platform") {
  ControlPump pump = MakeFleet(20);
  CHECK(pump.watching.size() == 9);
  CHECK(pump.CountLacking(1) == 0);
}

TEST_CASE("control: a change reaches the whole fleet by push") {
  ControlPump pump = MakeFleet(20);
  pump.messages = 0;
  pump.PublishConfig(2, "two");
  CHECK(pump.CountLacking(2) == 0);
  // One delta and two announcements per node, plus those between zones.
  CHECK(pump.messages < 4 * 60);
}

// Guards against lost changes with frozen readers (R8): the announcements of
// the remaining readers must cover the subtrees of frozen nodes.
TEST_CASE("control: a change arrives with one reader per zone left") {
  for (const size_t kept : {0, 1, 2}) {
    CAPTURE(kept);
    ControlPump pump = MakeFleet(20);
    for (const std::string zone : {"banqiao", "keelung", "tamsui"}) {
      const auto readers =
          dissemination::SelectReaders(pump.nodes.at("tamsui-0").zones, zone);
      for (size_t rank = 0; rank < readers.size(); ++rank) {
        if (rank != kept) {
          pump.stopped.insert(readers[rank]);
        }
      }
    }
    pump.PublishConfig(2, "two");
    pump.Run(absl::Seconds(2));
    CHECK(pump.CountLacking(2) == 0);
  }
}

TEST_CASE("control: a zone without readers gets a change from other zones") {
  ControlPump pump = MakeFleet(20);
  for (const std::string& reader : dissemination::SelectReaders(
           pump.nodes.at("tamsui-0").zones, "tamsui")) {
    pump.stopped.insert(reader);
  }
  pump.PublishConfig(2, "two");
  pump.Run(absl::Seconds(2));
  CHECK(pump.CountLacking(2) == 0);
}

// Guards against subtrees that miss a change because a non-reader above them is
// unresponsive.
TEST_CASE(
    "control: a change arrives although a fifth of all nodes is stopped") {
  ControlPump pump = MakeFleet(100);
  size_t index = 0;
  for (const auto& [id, zone] : pump.zone_of) {
    if (++index % 5 == 0) {
      pump.stopped.insert(id);
    }
  }
  pump.PublishConfig(2, "two");
  pump.Run(absl::Seconds(4));
  CHECK(pump.CountLacking(2) == 0);
}

// Guards against dependence on the push: one informed node must suffice.
TEST_CASE("control: the digest exchange alone spreads a change") {
  ControlPump pump = MakeFleet(20);
  pump.Handle("tamsui-7", OneFile(2, "two"));
  pump.queue.clear();
  pump.Run(absl::Seconds(8));
  CHECK(pump.CountLacking(2) == 0);
}

// Guards against a VM list that no running VM watches.
TEST_CASE("control: a non-reader finds a change when all readers are gone") {
  ControlPump pump = MakeFleet(20);
  pump.stopped.insert(pump.watching.begin(), pump.watching.end());
  pump.reading.clear();
  pump.Run(absl::Seconds(60));
  REQUIRE_FALSE(pump.reading.empty());
  pump.Handle(*pump.reading.begin(), OneFile(2, "two"));
  pump.Run(absl::Seconds(3));
  CHECK(pump.CountLacking(2) == 0);
}

// Guards against exceeding the platform's read limit when a fleet starts: reads
// of non-readers were not spread over the zone before the list was known.
TEST_CASE("control: started nodes share the read rate of their zone") {
  ControlPump pump = MakeFleet(100);
  pump.Run(absl::Seconds(4));
  // Three zones with one read per 2 s each make 6 reads on average.
  CHECK(pump.reading.size() <= 12);
}

// Guards against late deltas or a stale platform that undo a change (R8).
TEST_CASE("control: late deltas and stale answers never revert a version") {
  ControlPump pump = MakeFleet(10);
  std::deque<ControlPump::Envelope> late;
  for (uint64_t version = 2; version <= 6; ++version) {
    const std::set<std::string> readers = pump.watching;
    for (const std::string& id : readers) {
      pump.Handle(id, OneFile(version, std::to_string(version)));
    }
    late.insert(late.end(), pump.queue.begin(), pump.queue.end());
    pump.Deliver();
  }
  std::reverse(late.begin(), late.end());
  pump.queue = late;
  pump.Deliver();
  for (const auto& [id, zone] : pump.zone_of) {
    pump.Handle(id, OneFile(3, "3"));
  }
  pump.Run(absl::Seconds(3));
  CHECK(pump.CountLacking(6) == 0);
  for (const auto& [id, versions] : pump.installed) {
    CHECK(std::is_sorted(versions.begin(), versions.end()));
  }
}

TEST_CASE("control: a new node without platform becomes ready from peers") {
  ControlPump pump = MakeFleet(5);
  pump.AddNode("newcomer", "tamsui", {"tamsui-0", "keelung-1"});
  pump.Run(absl::Milliseconds(300));
  CHECK(pump.VersionOf("newcomer") == 1);
  CHECK(IsControlReady(pump.nodes.at("newcomer"), pump.now));
  CHECK(pump.watching.count("newcomer") == 0);
}

TEST_CASE(
    "control: a new node whose seeds are frozen reads from the platform") {
  ControlPump pump = MakeFleet(5);
  pump.stopped = {"tamsui-0", "keelung-1"};
  pump.AddNode("newcomer", "tamsui", {"tamsui-0", "keelung-1"});
  CHECK(pump.watching.count("newcomer") == 0);
  pump.Run(absl::Seconds(6));
  CHECK_FALSE(IsControlReady(pump.nodes.at("newcomer"), pump.now));
  CHECK(pump.watching.count("newcomer") == 1);
}

// Guards against exceeding the platform's read limit: only readers keep watches
// open.
TEST_CASE("control: a non-reader stops watching once it is ready") {
  ControlPump pump = MakeFleet(5);
  pump.AddNode("alone", "tamsui", {});
  CHECK(pump.watching.count("alone") == 1);
  pump.Handle("alone", OneFile(1, "one"));
  CHECK(pump.watching.count("alone") == 1);
  PlatformList list;
  list.revision = 1;
  list.vms = pump.nodes.at("tamsui-0").view.list->vms;
  pump.Handle("alone", list);
  CHECK(pump.watching.count("alone") == 0);
  CHECK(IsControlReady(pump.nodes.at("alone"), pump.now));
}

// Guards against a node that becomes ready with an old version from one frozen
// peer while another peer has a newer one.
TEST_CASE("control: a new node accepts the newest version of its peers") {
  ControlPump pump = MakeFleet(3);
  pump.stopped.insert("tamsui-0");
  pump.PublishConfig(2, "two");
  pump.Run(absl::Seconds(3));
  pump.stopped.clear();
  pump.AddNode("newcomer", "tamsui", {"tamsui-0", "keelung-1"});
  pump.Run(absl::Milliseconds(300));
  CHECK(pump.VersionOf("newcomer") == 2);
}

TEST_CASE("control: the same version with another digest raises one alarm") {
  ControlPump pump = MakeFleet(3);
  const std::string victim = *pump.watching.begin();
  pump.Handle(victim, OneFile(1, "other"));
  pump.Handle(victim, OneFile(1, "other"));
  REQUIRE(pump.alarms[victim].size() == 1);
  CHECK(pump.alarms[victim][0].error.code == VersionErrorCode::kDigestConflict);
  CHECK(pump.alarms[victim][0].source == "platform");
  CHECK(pump.nodes.at(victim).counters.conflicts == 2);
  pump.Handle(victim, PeerMessage{{"tamsui-1", "tamsui-1", "tamsui"},
                                  schema::ListAnnounce{1, 99, 1}});
  CHECK(pump.alarms[victim].size() == 2);
  CHECK(pump.alarms[victim][1].payload == Payload::kList);
}

// Guards against a false alarm when the platform has just started.
TEST_CASE("control: a platform without content is no conflict") {
  ControlPump pump;
  pump.AddNode("alone", "tamsui", {});
  pump.Handle("alone", PlatformConfig());
  pump.Handle("alone", PlatformList());
  CHECK(pump.alarms.empty());
  CHECK(pump.watching.count("alone") == 1);
}

// Guards against checking a rejected version at every exchange.
TEST_CASE("control: a rejected version is checked once and replaced later") {
  ControlPump pump = MakeFleet(5);
  pump.PublishConfig(2, "bad");
  pump.PublishConfig(2, "bad");
  pump.Run(absl::Seconds(5));
  CHECK(pump.CountLacking(1) == 0);
  uint64_t refused = 0;
  for (const auto& [id, state] : pump.nodes) {
    CHECK(state.counters.configs_refused <= 1);
    refused += state.counters.configs_refused;
  }
  CHECK(refused == pump.watching.size());
  pump.PublishConfig(3, "three");
  CHECK(pump.CountLacking(3) == 0);
}

TEST_CASE("control: a replaced reader is followed by the next VM") {
  ControlPump pump = MakeFleet(6);
  const auto readers =
      dissemination::SelectReaders(pump.nodes.at("tamsui-0").zones, "tamsui");
  PlatformList list;
  list.revision = 2;
  for (const schema::VmEntry& vm : pump.nodes.at("tamsui-0").view.list->vms) {
    if (vm.vm_id != readers[0]) {
      list.vms.push_back(vm);
    }
  }
  pump.Handle(readers[1], list);
  pump.Run(absl::Seconds(2));
  CHECK(pump.watching.size() == 9);
  CHECK(pump.watching.count(readers[0]) == 0);
  for (const auto& [id, state] : pump.nodes) {
    CHECK(state.list_channel.held.version == 2);
  }
}

TEST_CASE("control: a delta on an unknown base is replaced by all files") {
  ControlPump pump = MakeFleet(3);
  schema::ConfigDelta delta;
  delta.from_version = 5;
  delta.to_version = 6;
  pump.Handle("tamsui-0",
              PeerMessage{{"tamsui-1", "tamsui-1", "tamsui"}, delta});
  REQUIRE(pump.queue.size() == 1);
  CHECK(pump.queue[0].to == "tamsui-1");
  CHECK(std::get<schema::ConfigFetch>(pump.queue[0].message).from_version == 0);
}

}  // namespace
}  // namespace boragepaddle::node
