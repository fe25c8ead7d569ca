#ifndef BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_
#define BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "boragepaddle/base/sharded.h"
#include "boragepaddle/config/operation_name.h"
#include "boragepaddle/daemon/attempt_table.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/peer_hub.h"
#include "boragepaddle/node/egress.h"

namespace boragepaddle::daemon {

/// Executes the egress decisions for calls of callers and of the local worker.
class EgressClient : private PeerObserver {
 public:
  EgressClient(node::EgressSettings settings,
               PeerHub& hub,
               AttemptTable& attempts);
  ~EgressClient() override;

  /// Makes the call and waits until it is finished.
  node::FinishCall Call(node::EgressCall call,
                        const std::function<bool()>& caller_connected);

  /// False if a callee currently refuses the class, so that the work of a
  /// request that calls it would be wasted.
  bool CalleesAdmit(absl::Span<const config::OperationName> callees,
                    schema::CallClass call_class);

  /// Installs the VM list.
  void SetUpstreams(absl::Span<const schema::VmEntry> vms);

 private:
  using Services = absl::flat_hash_map<std::string, node::ServiceState>;
  using CallerConnected = std::function<bool()>;
  using VmsByService =
      absl::flat_hash_map<std::string, std::vector<schema::VmEntry>>;

  void OnPeerHello(const schema::Hello& hello, bool listed) override;
  void OnPeerLeaving(const schema::Hello& hello) override;
  void OnPeerLost(const schema::Hello& hello) override;

  node::EgressAction Perform(node::EgressCall& call,
                             node::EgressAction action,
                             const CallerConnected& caller_connected);
  node::EgressAction Send(node::EgressCall& call,
                          node::SendAttempt send,
                          const CallerConnected& caller_connected);
  node::EgressAction RequestTicket(node::EgressCall& call,
                                   node::AskTicket ask,
                                   const CallerConnected& caller_connected);
  node::EgressAction Wait(node::EgressCall& call,
                          const node::WaitUntil& wait,
                          const CallerConnected& caller_connected);
  node::EgressAction HandleAttemptLoss(node::EgressCall& call,
                                       node::AttemptLoss loss);

  /// Returns the state of the service, with its upstreams on first use.
  node::ServiceState& FindOrAddService(Services& all,
                                       const std::string& service);
  std::vector<schema::VmEntry> ListedVms(const std::string& service);

  void ProbeLoop();
  void Probe();

  const node::EgressSettings settings;
  PeerHub& hub;
  AttemptTable& attempts;
  const Logger log{"egress"};
  base::Sharded<Services> services;
  absl::Mutex mutex;
  std::shared_ptr<const VmsByService> listed ABSL_GUARDED_BY(mutex) =
      std::make_shared<VmsByService>();
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::thread prober;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_EGRESS_CLIENT_H_
