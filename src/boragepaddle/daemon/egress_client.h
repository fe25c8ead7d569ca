#ifndef BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_
#define BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_

#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "boragepaddle/base/sharded.h"
#include "boragepaddle/daemon/attempt_table.h"
#include "boragepaddle/daemon/peer_hub.h"
#include "boragepaddle/node/egress.h"
#include "boragepaddle/routing/route_table.h"

namespace boragepaddle::daemon {

/// Runs the egress decisions for calls of callers and of the local worker.
class EgressClient {
 public:
  EgressClient(routing::Locality locality,
               PeerHub& hub,
               AttemptTable& attempts);

  /// Makes the call and waits for its end.
  node::FinishCall Call(node::EgressCall call,
                        const std::function<bool()>& caller_connected);

  /// Installs the VM list.
  void SetUpstreams(absl::Span<const schema::VmEntry> vms);

 private:
  using RouteTables = absl::flat_hash_map<std::string, routing::RouteTable>;

  node::EgressAction Send(node::EgressCall& call,
                          node::SendAttempt send,
                          const std::function<bool()>& caller_connected);
  node::EgressAction Lost(node::EgressCall& call, node::AttemptLoss loss);

  const routing::Locality locality;
  PeerHub& hub;
  AttemptTable& attempts;
  base::Sharded<RouteTables> routes;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_
