#ifndef BORAGEPADDLE_PROXY_NODE_SETTINGS_H_
#define BORAGEPADDLE_PROXY_NODE_SETTINGS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace boragepaddle::proxy {

/// Location, addresses and limits of a node, set by the deployment.
struct NodeSettings {
  std::string vm_id;
  /// IP address of the VM.
  std::string host;
  std::string availability_zone;
  /// Service of the worker on this VM.
  std::string service;

  /// `IP:PORT` of the listeners, the worker and the store.
  std::string caller_address;
  std::string ready_address;
  std::string worker_address;
  std::string store_address;
  /// Port that serves `/metrics`; must equal the port in the deploy file.
  uint16_t metrics_port = 9464;
  /// Peer port; the same on all VMs.
  uint16_t peer_port = 0;

  uint64_t memory_bytes = 256u << 20;
  uint32_t max_descriptors = 4096;

  /// Time between SIGTERM and SIGKILL.
  absl::Duration shutdown_grace_period = absl::Seconds(6);
  /// Time after an outage of the store for which expired entries are kept. Live
  /// workers are listed again within about 2 s; a worker that is gone must not
  /// receive new work for longer.
  absl::Duration lapsed_entry_retention = absl::Milliseconds(1750);
  /// Time within which the store drops the entry of a worker that has ended.
  absl::Duration entry_lifetime = absl::Milliseconds(5500);
  /// Time within which a change of the store must be in force on all nodes.
  absl::Duration change_deadline = absl::Seconds(2);
  /// Retry budget over all nodes: in any window of this length, retries are
  /// limited to a share of the requests plus a fixed allowance.
  double retry_budget_ratio = 0.2;
  double retry_budget_allowance = 0;
  absl::Duration retry_budget_window = absl::Seconds(10);
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_NODE_SETTINGS_H_
