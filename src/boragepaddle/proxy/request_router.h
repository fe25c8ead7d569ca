#ifndef BORAGEPADDLE_PROXY_REQUEST_ROUTER_H_
#define BORAGEPADDLE_PROXY_REQUEST_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/admission/call_times.h"
#include "boragepaddle/event/body_sender.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/proxy/account_limiter.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/peer_network.h"
#include "boragepaddle/proxy/request_quarantine.h"
#include "boragepaddle/proxy/routed_call.h"
#include "boragepaddle/proxy/shutdown_state.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/proxy/worker_proxy.h"
#include "boragepaddle/retry/fleet_size.h"
#include "boragepaddle/retry/retry_budget.h"
#include "boragepaddle/routing/root_rate_limiter.h"
#include "boragepaddle/routing/weighted_round_robin.h"
#include "boragepaddle/routing/worker_choice.h"
#include "boragepaddle/routing/worker_index.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// Limits on the attempts of one request.
struct RequestRouterSettings {
  /// Nodes without capacity that are tried in sequence.
  uint32_t max_reroutes = 3;
  /// Interval at which a call that found no worker with capacity tries again.
  absl::Duration capacity_poll_interval = absl::Milliseconds(25);
  /// Share of the time left for which a nested call waits for capacity, and of
  /// the latency objective for which a root request does.
  double nested_capacity_wait_fraction = 0.4;
  double root_capacity_wait_fraction = 0.125;
  /// Rejections by workers after which the request is refused.
  uint32_t max_worker_rejections = 6;
  /// Share of the retry budget that requests of all but the highest priority
  /// may use.
  double low_priority_retry_fraction = 0.3;
  /// Minimum time left until the deadline for a retry.
  absl::Duration min_retry_time = absl::Milliseconds(50);
  /// Interval of attempts to reconnect to a node that holds attempts.
  absl::Duration resume_retry_interval = absl::Milliseconds(200);
  /// Range of the time after which a refused client may retry.
  absl::Duration min_retry_after = absl::Milliseconds(200);
  absl::Duration max_retry_after = absl::Seconds(2);
};

/// Routes the requests of clients and of the local worker: finds the route,
/// chooses workers, retries, and replies.
class RequestRouter {
 public:
  RequestRouter(boost::asio::io_context& loop,
                const NodeSettings& settings,
                const HttpDialect& dialect,
                StoreState& store,
                const ShutdownState& shutdown,
                WorkerProxy& local_worker,
                RequestQuarantine& quarantine,
                PeerNetwork& peers,
                AccountLimiter& account_limiter,
                event::BodySender& body_sender,
                event::MemoryBudget& memory,
                telemetry::EventLog& log,
                telemetry::RequestMetrics& metrics);

  /// A request of a client or of the local worker was read in full.
  void OnRequest(const std::shared_ptr<event::HttpExchange>& exchange);

  /// True if the request may be repeated, so that it may run while an earlier
  /// one of its connection has not been answered. Not for calls of the worker.
  bool MayRunAhead(const event::HttpRequest& request) const;

  /// An answer arrived from a peer or from the local worker proxy. The
  /// reservation is that of its body if it is large.
  void OnAnswer(schema::HttpAnswer answer,
                event::MemoryReservation reservation);

  /// An answer arrived whose body follows in pieces.
  void OnAnswerStart(const event::PeerChannelPtr& channel,
                     schema::HttpAnswer answer);
  /// A piece of an answer arrived. False if it is invalid.
  bool OnAnswerPiece(const event::PeerChannelPtr& channel,
                     const schema::BodyPiece& piece);

  /// The peer is unresponsive. Idempotent calls may be retried on other nodes;
  /// the others keep waiting.
  void OnChannelSilent(const event::PeerChannelPtr& channel);

  /// A channel closed. If the connection was open, the peer is asked on a new
  /// one for the state of the attempts.
  void OnChannelClosed(const event::PeerChannelPtr& channel);

  /// The peer ends and reads no more messages.
  void OnPeerClosing(const event::PeerChannelPtr& channel,
                     const schema::PeerClosing& closing);

  /// The peer reported the state of resumed attempts.
  void OnCallStates(const event::PeerChannelPtr& channel,
                    const schema::CallStates& states);

  void OnLoadNotice(absl::string_view host, const schema::LoadNotice& notice);
  void OnDirectoryChanged();
  void Tick(absl::Time now);

  /// Logs the known costs of the routes that had requests since the last call,
  /// with the admission rates of the services that they use.
  void LogRootCosts(absl::Time now);

  const routing::RootRateLimiter& rate_limiter() const {
    return this->root_limiter;
  }
  bool IsAwaitingAnswer(const event::PeerChannelPtr& channel) const;
  size_t in_flight() const { return this->calls.size(); }
  /// Number of root requests in flight.
  size_t RootRequestsInFlight() const;

  /// Logs the requests that are in progress when the process ends.
  void LogUnfinished(absl::Time now);

 private:
  void InheritFromParent(RoutedCall& call);
  /// Sets the client account of the request; if it may not run, answers it and
  /// returns false.
  bool Authenticate(RoutedCall& call);
  /// Takes credit of the client account's rate limit; admits the request now
  /// or once the credit is there.
  void TakeCredit(RoutedCall& call);
  void OnCreditVerdict(uint64_t id, const limits::CreditVerdict& verdict);
  /// The call was not run, so its credit may be used by another one.
  void ReturnCredit(RoutedCall& call);
  /// Sends the request if it is admitted; otherwise it waits or is refused.
  void AdmitAndSend(RoutedCall& call);
  bool AdmitRoot(RoutedCall& call);
  /// False if the call of a retried request does not fit into the retry budget.
  bool AdmitNested(RoutedCall& call);
  void SendAttempt(RoutedCall& call);
  uint64_t FingerprintOf(const RoutedCall& call) const;
  /// Ends a call that crashes the workers that run it.
  void RefuseQuarantined(RoutedCall& call);
  CallTimeBounds TimeBounds(const RoutedCall& call, absl::Time now) const;
  /// True if the process stops and is expected to end before the nested call
  /// does.
  bool OutlastsProcess(const RoutedCall& call, absl::Time now) const;
  /// Ends a call that could not complete before this process does.
  void RefuseForShutdown(RoutedCall& call, absl::Time now);
  /// Waits for capacity; false if the time for waiting is over.
  bool WaitForCapacity(RoutedCall& call);
  void SendTo(RoutedCall& call, const catalog::WorkerEntry& worker);
  schema::HttpCall MakeMessage(const RoutedCall& call,
                               const catalog::WorkerEntry& worker,
                               absl::Time now) const;
  /// True for header fields that are not forwarded from the client.
  bool IsSetByNode(const RoutedCall& call, absl::string_view field) const;
  std::vector<uint64_t> PendingCallsOn(
      const event::PeerChannelPtr& channel) const;
  /// Asks the peer on a new connection for the state of the attempts.
  void Resume(const std::string& host,
              uint64_t incarnation,
              const std::vector<uint64_t>& ids);
  /// Resumes attempts for which the last connection attempt failed.
  void ResumeDueAttempts(absl::Time now);
  void EndResumedAttempt(const event::PeerChannelPtr& channel,
                         uint64_t attempt,
                         bool sent);
  /// The pending attempt of a message on the channel; null if there is none.
  RoutedCall* FindAttempt(const event::PeerChannelPtr& channel,
                          uint64_t attempt);
  void OnAttemptEnded(RoutedCall& call,
                      schema::HttpAnswer& answer,
                      event::MemoryReservation reservation);
  void RecordUse(const RoutedCall& call, const schema::HttpAnswer& answer);
  void OnNotRun(RoutedCall& call, const schema::HttpAnswer& answer);
  void OnAttemptLost(RoutedCall& call, bool sent);
  bool TryAcquireRetry(const RoutedCall& call);
  void TimeOut(RoutedCall& call);
  void OnClientDisconnected(uint64_t id);
  void CancelAttempt(RoutedCall& call);
  void ClearAttempt(RoutedCall& call);

  void ReplyCompleted(RoutedCall& call,
                      schema::HttpAnswer& answer,
                      event::MemoryReservation reservation);
  /// No worker accepted the call: it waits for capacity or ends.
  void WaitOrRefuse(RoutedCall& call);
  void ReplyNotRun(RoutedCall& call);
  bool IsRetryableFailure(const RoutedCall& call,
                          const schema::HttpAnswer& answer) const;
  void ReplyUnknown(RoutedCall& call, uint32_t status);
  /// What the end of a call of the local worker means for its parent.
  void RecordNestedEnd(const RoutedCall& call, uint32_t status, absl::Time now);
  /// Ends the call. Without a reply, the client has left.
  void Finish(RoutedCall& call,
              absl::optional<event::HttpReply> reply,
              absl::string_view how);
  void RejectUnrouted(const std::shared_ptr<event::HttpExchange>& exchange,
                      uint32_t status,
                      absl::string_view why);
  absl::Duration RetryAfter(const RoutedCall& call);
  retry::RetryBudgetSettings BudgetSettings() const;

  boost::asio::io_context& loop;
  const NodeSettings& settings;
  const RequestRouterSettings bounds;
  const HttpDialect& dialect;
  StoreState& store;
  const ShutdownState& shutdown;
  WorkerProxy& local_worker;
  RequestQuarantine& quarantine;
  PeerNetwork& peers;
  AccountLimiter& account_limiter;
  event::BodySender& body_sender;
  event::MemoryBudget& memory;
  telemetry::EventLog& log;
  telemetry::RequestMetrics& metrics;
  std::mt19937_64 random;
  const absl::Time started;
  uint64_t next_id = 1;
  uint64_t next_attempt = 1;
  absl::flat_hash_map<uint64_t, std::unique_ptr<RoutedCall>> calls;
  /// Call ids by the id of their pending attempt.
  absl::flat_hash_map<uint64_t, uint64_t> calls_by_attempt;
  /// Number of attempts in flight by channel number.
  absl::flat_hash_map<uint64_t, uint32_t> attempts_by_channel;
  absl::flat_hash_map<std::string, routing::WeightedRoundRobin> splits;
  absl::flat_hash_map<std::string, retry::RetryBudget> budgets;
  /// Nodes that share the retry budgets.
  retry::FleetSize fleet;
  routing::LoadTable loads;
  routing::WorkerIndex worker_index;
  routing::RootRateLimiter root_limiter;
  /// Times of the completed calls of the local worker, by route.
  admission::CallTimes nested_times;
  /// Requests of each route at the last LogRootCosts.
  absl::flat_hash_map<std::string, uint64_t> logged_requests;
  /// EvictedAccounts at the last LogRootCosts.
  uint64_t logged_evictions = 0;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_REQUEST_ROUTER_H_
