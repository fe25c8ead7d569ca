#ifndef BORAGEPADDLE_PROXY_PROXY_NODE_H_
#define BORAGEPADDLE_PROXY_PROXY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "boragepaddle/event/body_sender.h"
#include "boragepaddle/event/http_server.h"
#include "boragepaddle/event/key_value_source.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/shared_body.h"
#include "boragepaddle/event/worker_connection_pool.h"
#include "boragepaddle/proxy/account_limiter.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/inbound_bodies.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/peer_network.h"
#include "boragepaddle/proxy/request_quarantine.h"
#include "boragepaddle/proxy/request_router.h"
#include "boragepaddle/proxy/shutdown_state.h"
#include "boragepaddle/proxy/store_replicator.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/proxy/worker_proxy.h"
#include "boragepaddle/recovery/inbound_call_table.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// Dependencies of a node besides its settings.
struct NodeDependencies {
  HttpDialect http;
  StoreDialect store;
  std::unique_ptr<event::KeyValueSource> source;
  /// Reads the settings again; empty if they are unchanged or invalid.
  std::function<absl::optional<NodeSettings>()> reload;
};

/// A node of the HTTP path: listeners, replication of the store, request router
/// and worker proxy on one event loop.
class ProxyNode {
 public:
  ProxyNode(boost::asio::io_context& loop,
            const NodeSettings& settings,
            NodeDependencies parts,
            telemetry::EventLog& log);

  /// Opens the listeners; false if a required one cannot be opened.
  bool Start();

  /// SIGTERM: reports not ready, serves the requests in flight, then stops the
  /// loop.
  void StartShutdown();

  /// Reloads the settings: on SIGHUP, and periodically.
  void Reload();

 private:
  bool Listen(event::HttpServer& server, const std::string& address);
  PeerNetworkEvents MakePeerEvents();
  event::HttpServerOptions MakeClientServerOptions();
  StoreReplicatorEvents MakeReplicatorEvents();
  void OnPeerMessage(const event::PeerChannelPtr& channel,
                     schema::Message& message);
  void OnPeerHello(const event::PeerChannelPtr& channel,
                   const schema::PeerHello& hello);
  void OnPeerCall(const event::PeerChannelPtr& channel, schema::HttpCall call);
  /// A call arrived whose body follows in pieces.
  void OnPeerCallStart(const event::PeerChannelPtr& channel,
                       schema::HttpCall call);
  void OnBodyPiece(const event::PeerChannelPtr& channel,
                   const schema::BodyPiece& piece);
  void OnInvalidPiece(const event::PeerChannelPtr& channel,
                      const schema::BodyPiece& piece);
  /// Passes a complete call on to the worker proxy.
  void PassOn(uint64_t sender, schema::HttpCall call, event::SharedBody body);
  void AnswerPeer(uint64_t sender,
                  schema::HttpAnswer answer,
                  event::MemoryReservation reservation);
  void SendAnswer(const event::PeerChannelPtr& channel,
                  const schema::HttpAnswer& answer,
                  event::SharedBody body);
  void OnPeerCancel(const event::PeerChannelPtr& channel,
                    const schema::HttpCancel& cancel);
  void OnPeerResume(const event::PeerChannelPtr& channel,
                    const schema::CallResume& resume);
  /// Sends PeerClosing to the nodes that may send calls, and reads no more of
  /// them.
  void TellPeersOfEnd();
  /// Cancels calls whose sender did not reconnect in time, and drops those
  /// whose body is not complete at their deadline.
  void ExpireCalls(absl::Time now);
  void OnChannelClosed(const event::PeerChannelPtr& channel);
  /// Hosts of the other nodes of the service.
  std::vector<std::string> ServiceHosts() const;
  /// Hosts of nodes of other services that keep the rejections of the service.
  std::vector<std::string> WitnessHosts() const;
  void SendTo(absl::Span<const std::string> hosts,
              const schema::Message& message);
  /// Connects to some nodes, which then send their crash reports and
  /// rejections.
  void RequestCrashReports();
  /// Connects to nodes that may have missed what this node reported. They get
  /// the reports on the new connection.
  void ConnectForReports(absl::Time now);
  void OnClientIncident(const event::HttpServerIncident& incident);
  void OnReadyProbe(const std::shared_ptr<event::HttpExchange>& exchange);
  void OnMetricsRequest(const std::shared_ptr<event::HttpExchange>& exchange);
  void ReportChanges(const std::vector<StoreChange>& changes);
  void OnStateChanged();
  schema::PeerHello MakeHello() const;
  bool HasStoreState() const;
  bool IsReady() const;
  void ScheduleTick();
  void Tick();
  void BroadcastGrant(absl::Time now);
  void OnProcessPause(absl::Time now, absl::Duration gap);
  void AdvanceShutdown(absl::Time now);
  void ApplyShutdown(const ShutdownState& before,
                     const ShutdownProgress& progress);

  boost::asio::io_context& loop;
  NodeSettings settings;
  NodeDependencies parts;
  telemetry::EventLog& log;
  const uint64_t incarnation;
  /// For all requests and responses that the process holds; outlives all that
  /// reserve of it.
  event::MemoryBudget memory;
  StoreState store;
  ShutdownState shutdown;
  telemetry::RequestMetrics metrics;
  event::BodySender body_sender;
  InboundBodies inbound_bodies;
  event::WorkerConnectionPool workers;
  RequestQuarantine quarantine;
  WorkerProxy worker_side;
  PeerNetwork peers;
  AccountLimiter account_limiter;
  RequestRouter router;
  event::HttpServer client_server;
  event::HttpServer readiness_server;
  event::HttpServer metrics_server;
  StoreReplicator replicator;
  boost::asio::steady_timer timer;
  /// Calls of other nodes, and the channels on which they arrive.
  recovery::InboundCallTable inbound_calls;
  absl::flat_hash_map<uint64_t, event::PeerChannelPtr> incoming_channels;
  const absl::Time started;
  absl::Time last_tick;
  absl::Time last_slow_tick;
  absl::Time costs_logged_at = absl::InfinitePast();
  absl::Time last_peer_tick;
  absl::Time last_reload;
  uint32_t sent_grant = 0;
  absl::Time grant_sent_at = absl::InfinitePast();
  /// The other nodes were sent PeerClosing.
  bool peers_told_of_end = false;
  bool was_ready = false;
  bool requested_crash_reports = false;
  absl::Time connected_for_reports_at = absl::InfinitePast();
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_PROXY_NODE_H_
