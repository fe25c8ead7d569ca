#ifndef BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_
#define BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_

#include <cstdint>
#include <string>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/daemon/peer_hub.h"
#include "boragepaddle/daemon/request_contexts.h"
#include "boragepaddle/daemon/rule_book.h"
#include "boragepaddle/node/ingress.h"
#include "boragepaddle/schema/messages.h"
#include "boragepaddle/schema/settings.h"
#include "boragepaddle/transport/elastic_pool.h"
#include "boragepaddle/transport/worker_client.h"

namespace boragepaddle::daemon {

/// Runs the ingress decisions: takes calls from peers and gives them to the
/// local worker.
class IngressServer {
 public:
  IngressServer(const schema::NodeSettings& settings,
                uint64_t incarnation,
                RuleBook& rules,
                RequestContexts& contexts,
                transport::WorkerClient& worker);
  ~IngressServer();

  void OnLinkOpen(const PeerLinkPtr& link);
  void OnCallRequest(const PeerLinkPtr& link, schema::CallRequest request);
  void OnTicketRequest(const PeerLinkPtr& link,
                       const schema::TicketRequest& request);
  void OnCancel(const PeerLinkPtr& link, const schema::CancelCall& cancel);
  void OnLinkClosed(const PeerLinkPtr& link);

  /// Address that the worker uses for its own calls.
  void SetWorkerListener(const std::string& address);

  void StartLeaving();
  bool IsDrained();

  /// Calls queued or running.
  uint32_t in_flight();

 private:
  void Perform(node::IngressActions actions);
  void Run(node::CallKey key);
  node::WorkerAnswer CallWorker(const node::IngressCall& call,
                                const std::string& context_id,
                                node::CallKey key);
  PeerLinkPtr FindLink(uint64_t link_id);
  void TickLoop();

  const schema::NodeSettings settings;
  RuleBook& rules;
  RequestContexts& contexts;
  transport::WorkerClient& worker;
  const Logger log{"ingress"};
  absl::Mutex mutex;
  node::IngressState state ABSL_GUARDED_BY(mutex);
  absl::Mutex links_mutex;
  absl::flat_hash_map<uint64_t, PeerLinkPtr> links ABSL_GUARDED_BY(links_mutex);
  std::string worker_listener ABSL_GUARDED_BY(links_mutex);
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  transport::ElasticPool pool;
  std::thread ticker;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_
