#ifndef TESTS_UNIT_CONTROL_PUMP_H_
#define TESTS_UNIT_CONTROL_PUMP_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "boragepaddle/node/control.h"

namespace boragepaddle::node {

/// Simulates a small fleet: delivers messages between its control states, in
/// order and with a fixed seed.
struct ControlPump {
  struct Envelope {
    std::string from;
    std::string to;
    schema::Message message;
  };

  std::map<std::string, ControlState> nodes;
  std::map<std::string, std::string> zone_of;
  /// Nodes that neither send nor receive, like stopped processes.
  std::set<std::string> stopped;
  /// Ids of nodes that keep watches on the platform open.
  std::set<std::string> watching;
  /// Ids of nodes that read from the platform once.
  std::set<std::string> reading;
  std::deque<Envelope> queue;
  std::map<std::string, std::vector<RaiseAlarm>> alarms;
  std::map<std::string, std::vector<uint64_t>> installed;
  uint64_t checks = 0;
  uint64_t messages = 0;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::mt19937_64 random{7};

  void AddNode(const std::string& id,
               const std::string& zone,
               std::vector<std::string> seed_peers);
  void Handle(const std::string& id, const ControlEvent& event);
  /// Delivers all queued messages.
  void Deliver();
  /// Advances time in ticks.
  void Run(absl::Duration duration);
  /// Delivers the platform's configuration to every watching node that is
  /// running.
  void PublishConfig(uint64_t revision, const std::string& text);
  uint64_t VersionOf(const std::string& id) const;
  /// Number of running nodes that do not hold this configuration version.
  size_t CountLacking(uint64_t version) const;
};

/// A folder with one file; the simulated check rejects the text `bad`.
PlatformConfig OneFile(uint64_t revision, const std::string& text);

/// A fleet of three zones with list revision 1 and configuration revision 1.
ControlPump MakeFleet(size_t vms_per_zone);

}  // namespace boragepaddle::node

#endif  // TESTS_UNIT_CONTROL_PUMP_H_
