#include "tests/unit/control_pump.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::node {
namespace {

/// Carries out the actions of one node.
struct ActionHandler {
  ControlPump& pump;
  const std::string& id;

  void operator()(SendMessage& send) {
    // In the simulation, the address of a VM is its id.
    const std::string& to = send.vm_id.empty() ? send.address : send.vm_id;
    this->pump.queue.push_back({this->id, to, std::move(send.message)});
    ++this->pump.messages;
  }
  void operator()(const WatchPlatform& watch) {
    if (watch.enabled) {
      this->pump.watching.insert(this->id);
    } else {
      this->pump.watching.erase(this->id);
    }
  }
  void operator()(const ReadPlatform& /*read*/) {
    this->pump.reading.insert(this->id);
  }
  void operator()(const InstallConfig& install) {
    this->pump.installed[this->id].push_back(install.folder->version);
  }
  void operator()(const RaiseAlarm& alarm) {
    this->pump.alarms[this->id].push_back(alarm);
  }
  template <typename Other>
  void operator()(const Other& /*action*/) {}
};

}  // namespace

void ControlPump::AddNode(const std::string& id,
                          const std::string& zone,
                          std::vector<std::string> seed_peers) {
  const auto check = [](const dissemination::ConfigFolder& folder) {
    std::vector<ConfigFault> faults;
    for (const auto& [name, text] : folder.files) {
      if (text == "bad") {
        faults.push_back({name, "", text, "refused"});
      }
    }
    return faults;
  };
  this->zone_of[id] = zone;
  this->nodes.emplace(id,
                      ControlState({id, zone, std::move(seed_peers)}, check));
  this->Handle(id, ControlStarted());
}

void ControlPump::Handle(const std::string& id, const ControlEvent& event) {
  if (this->stopped.count(id) != 0) {
    return;
  }
  auto actions =
      OnControlEvent(this->nodes.at(id), event, this->now, this->random());
  for (ControlAction& action : actions) {
    std::visit(ActionHandler{*this, id}, action);
  }
}

void ControlPump::Deliver() {
  while (!this->queue.empty()) {
    const Envelope envelope = std::move(this->queue.front());
    this->queue.pop_front();
    if (this->nodes.count(envelope.to) != 0) {
      this->Handle(envelope.to, PeerMessage{{envelope.from, envelope.from,
                                             this->zone_of[envelope.from]},
                                            envelope.message});
    }
  }
}

void ControlPump::Run(absl::Duration duration) {
  const absl::Time end = this->now + duration;
  while (this->now < end) {
    this->now += kControlTickInterval;
    for (const auto& [id, zone] : this->zone_of) {
      this->Handle(id, ControlTick());
    }
    this->Deliver();
  }
}

void ControlPump::PublishConfig(uint64_t revision, const std::string& text) {
  const std::set<std::string> readers = this->watching;
  for (const std::string& id : readers) {
    this->Handle(id, OneFile(revision, text));
  }
  this->Deliver();
}

uint64_t ControlPump::VersionOf(const std::string& id) const {
  return this->nodes.at(id).config_channel.held.version;
}

size_t ControlPump::CountLacking(uint64_t version) const {
  size_t lacking = 0;
  for (const auto& [id, zone] : this->zone_of) {
    const bool awake = this->stopped.count(id) == 0;
    lacking += awake && this->VersionOf(id) != version ? 1 : 0;
  }
  return lacking;
}

PlatformConfig OneFile(uint64_t revision, const std::string& text) {
  return {revision, {{"bureau.json", text}}};
}

ControlPump MakeFleet(size_t vms_per_zone) {
  ControlPump pump;
  PlatformList list;
  list.revision = 1;
  for (const std::string zone : {"banqiao", "keelung", "tamsui"}) {
    for (size_t index = 0; index < vms_per_zone; ++index) {
      schema::VmEntry vm;
      vm.vm_id = absl::StrCat(zone, "-", index);
      vm.availability_zone = zone;
      vm.peer_address = vm.vm_id;
      list.vms.push_back(vm);
      pump.AddNode(vm.vm_id, zone, {"tamsui-0", "banqiao-0"});
    }
  }
  for (const auto& [id, zone] : pump.zone_of) {
    pump.Handle(id, list);
    pump.Handle(id, OneFile(1, "one"));
  }
  pump.Deliver();
  return pump;
}

}  // namespace boragepaddle::node
