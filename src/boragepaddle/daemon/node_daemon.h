#ifndef BORAGEPADDLE_DAEMON_NODE_DAEMON_H_
#define BORAGEPADDLE_DAEMON_NODE_DAEMON_H_

#include <atomic>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/daemon/attempt_table.h"
#include "boragepaddle/daemon/caller_service.h"
#include "boragepaddle/daemon/control_loop.h"
#include "boragepaddle/daemon/egress_client.h"
#include "boragepaddle/daemon/ingress_server.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/message_router.h"
#include "boragepaddle/daemon/operator_service.h"
#include "boragepaddle/daemon/peer_hub.h"
#include "boragepaddle/daemon/request_contexts.h"
#include "boragepaddle/daemon/rule_book.h"
#include "boragepaddle/metrics/call_metrics.h"
#include "boragepaddle/schema/settings.h"
#include "boragepaddle/transport/http_listener.h"
#include "boragepaddle/transport/peer_listener.h"
#include "boragepaddle/transport/worker_client.h"

namespace boragepaddle::daemon {

/// Addresses to which the listeners of a node are bound.
struct BoundAddresses {
  std::string caller;
  std::string worker;
  std::string peer;
  std::string operations;
};

/// One node: creates its components and connects them.
class NodeDaemon {
 public:
  explicit NodeDaemon(const schema::NodeSettings& settings);
  ~NodeDaemon();

  /// Opens all listeners.
  base::Result<BoundAddresses, transport::TransportError> Start();

  /// Announces that the node is leaving and refuses new work.
  void StartLeaving();

  /// True when no work is in flight.
  bool IsDrained();

  /// Set when an operator requested a stop with `POST /drain`.
  bool drain_requested() const { return this->drain; }

  /// Work in flight, for the log line of a forced stop.
  std::string DescribeWorkInFlight();

 private:
  schema::Hello MakeHello();
  void AddOperatorHandlers();
  transport::HttpReply Status();

  const schema::NodeSettings settings;
  const uint64_t incarnation;
  const Logger log{"node"};
  std::atomic<bool> leaving{false};
  std::atomic<bool> drain{false};
  metrics::CallMetrics call_metrics;
  RuleBook rules;
  RequestContexts contexts;
  transport::WorkerClient worker;
  IngressServer ingress;
  AttemptTable attempts;
  ControlLoop control;
  MessageRouter router;
  PeerHub hub;
  EgressClient egress;
  CallerService callers;
  OperatorService operators;
  std::unique_ptr<transport::PeerListener> peer_listener;
  transport::HttpListener caller_listener;
  transport::HttpListener worker_listener;
  transport::HttpListener operator_listener;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_NODE_DAEMON_H_
