#ifndef BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_
#define BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
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

/// Executes the ingress decisions: accepts calls from peers and dispatches them
/// to the local worker.
class IngressServer {
 public:
  /// Returns an open connection to a peer address, or null if it cannot
  /// connect.
  using PeerConnector = std::function<PeerLinkPtr(const std::string& address)>;

  /// False if a service that the operation calls currently refuses the class.
  using CalleesAdmit = std::function<bool(absl::string_view service,
                                          absl::string_view operation,
                                          schema::CallClass call_class)>;

  IngressServer(const schema::NodeSettings& settings,
                uint64_t incarnation,
                RuleBook& rules,
                RequestContexts& contexts,
                transport::WorkerClient& worker,
                PeerConnector connect,
                CalleesAdmit callees_admit);
  ~IngressServer();

  void OnLinkOpen(const PeerLinkPtr& link);
  void OnCallRequest(const PeerLinkPtr& link, schema::CallRequest request);
  void OnCancel(const PeerLinkPtr& link, const schema::CancelCall& cancel);
  void OnLinkClosed(const PeerLinkPtr& link);
  void OnTicketRequest(const PeerLinkPtr& link,
                       const schema::TicketRequest& request);
  void OnCrashReport(const PeerLinkPtr& link,
                     const schema::CrashReport& report);
  void OnCrashAck(const PeerLinkPtr& link, const schema::CrashAck& ack);

  /// Installs the VM list. Crash reports are sent to the VMs of this node's
  /// service.
  void SetVms(absl::Span<const schema::VmEntry> vms);

  /// Address that the worker uses for its own calls.
  void SetWorkerListener(const std::string& address);

  void StartLeaving();
  bool IsDrained();

  /// Number of calls queued or running.
  uint32_t in_flight();

 private:
  void Perform(node::IngressActions actions);
  void Send(uint64_t link_id, const schema::Message& message);
  void CancelAtWorker(node::CallKey key);
  void ProbeWorker();
  void Report(const node::ReportCrash& report);
  void ReportTo(const schema::VmEntry& vm, const node::ReportCrash& report);
  void Run(node::CallKey key);
  void RunAtWorker(node::CallKey key, const node::IngressCall& call);
  node::WorkerAnswer CallWorker(const node::IngressCall& call,
                                const std::string& context_id,
                                node::CallKey key);
  PeerLinkPtr FindLink(uint64_t link_id);
  void TickLoop();

  const schema::NodeSettings settings;
  RuleBook& rules;
  RequestContexts& contexts;
  transport::WorkerClient& worker;
  const PeerConnector connect;
  const CalleesAdmit callees_admit;
  const Logger log{"ingress"};
  absl::Mutex mutex;
  node::IngressState state ABSL_GUARDED_BY(mutex);
  absl::Mutex links_mutex;
  absl::flat_hash_map<uint64_t, PeerLinkPtr> links ABSL_GUARDED_BY(links_mutex);
  std::string worker_listener ABSL_GUARDED_BY(links_mutex);
  std::vector<schema::VmEntry> peers ABSL_GUARDED_BY(links_mutex);
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  transport::ElasticPool pool;
  /// For messages that must not wait for a free worker slot.
  transport::ElasticPool control_pool;
  std::thread ticker;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_INGRESS_SERVER_H_
