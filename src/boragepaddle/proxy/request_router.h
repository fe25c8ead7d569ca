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
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/peer_network.h"
#include "boragepaddle/proxy/routed_call.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/proxy/worker_proxy.h"
#include "boragepaddle/retry/retry_budget.h"
#include "boragepaddle/routing/root_rate_limiter.h"
#include "boragepaddle/routing/weighted_round_robin.h"
#include "boragepaddle/routing/worker_choice.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// Bounds on the attempts of one request.
struct RequestRouterSettings {
  /// Nodes without room that are asked in turn.
  uint32_t max_reroutes = 3;
  /// A call that finds no worker with room looks again after this pause.
  absl::Duration capacity_poll_interval = absl::Milliseconds(25);
  /// Part of the time left for which a nested call looks for room, and of the
  /// objective for which a root request does.
  double nested_capacity_wait_fraction = 0.4;
  double root_capacity_wait_fraction = 0.125;
  /// Refusals by workers after which a request is refused.
  uint32_t max_worker_rejections = 6;
  /// Part of the limit on repeats that all but the most important requests may
  /// use.
  double low_priority_retry_fraction = 0.3;
  /// A repeat needs this share of the time to the objective, or of the time
  /// left where there is no objective.
  absl::Duration min_retry_time = absl::Milliseconds(50);
  /// Pause between tries to reach a node that holds attempts.
  absl::Duration resume_retry_interval = absl::Milliseconds(200);
  /// Shortest time that a refused client is asked to stay away.
  absl::Duration min_retry_after = absl::Milliseconds(200);
  absl::Duration max_retry_after = absl::Seconds(2);
};

/// The side of a node that clients and the local worker send to: finds the
/// route, chooses workers, and answers.
class RequestRouter {
 public:
  RequestRouter(boost::asio::io_context& loop,
                const NodeSettings& settings,
                const HttpDialect& dialect,
                const StoreState& store,
                WorkerProxy& local_worker,
                PeerNetwork& peers,
                telemetry::EventLog& log,
                telemetry::RequestMetrics& metrics);

  /// A client's request was read whole.
  void OnRequest(const std::shared_ptr<event::HttpExchange>& exchange);

  /// An answer came on a channel, or from the local worker's side.
  void OnAnswer(schema::HttpAnswer answer);

  /// The node at the other end gives no sign of life. Calls that may be
  /// repeated are sent elsewhere; the others wait on.
  void OnChannelSilent(const event::PeerChannelPtr& channel);

  /// A channel closed. The other node is asked on a new one what became of the
  /// attempts, if it can be.
  void OnChannelClosed(const event::PeerChannelPtr& channel);

  /// The other node told what became of resumed attempts.
  void OnCallStates(const event::PeerChannelPtr& channel,
                    const schema::CallStates& states);

  void OnLoadNotice(absl::string_view host, const schema::LoadNotice& notice);
  void OnDirectoryChanged();
  void Tick(absl::Time now);

  bool IsAwaitingAnswer(const event::PeerChannelPtr& channel) const;
  size_t in_flight() const { return this->calls.size(); }
  /// Requests of clients among them.
  size_t RootRequestsInFlight() const;

  /// Refuses new requests of clients. Calls of the local worker are still
  /// taken.
  void StartDraining() { this->draining = true; }

 private:
  void InheritFromParent(RoutedCall& call);
  /// Sends the request if it may start.
  void AdmitAndSend(RoutedCall& call);
  bool AdmitRoot(RoutedCall& call);
  void SendAttempt(RoutedCall& call);
  /// Waits for room instead of giving up; false if the time for it is over.
  bool WaitForCapacity(RoutedCall& call);
  void SendTo(RoutedCall& call, const catalog::WorkerEntry& worker);
  schema::HttpCall MakeMessage(const RoutedCall& call,
                               const catalog::WorkerEntry& worker,
                               absl::Time now) const;
  std::vector<uint64_t> PendingCallsOn(
      const event::PeerChannelPtr& channel) const;
  /// Asks the other node on a new connection.
  void Resume(const std::string& host,
              uint64_t incarnation,
              const std::vector<uint64_t>& ids);
  /// Resumes attempts whose last try found no connection.
  void ResumeDueAttempts(absl::Time now);
  void EndResumedAttempt(const event::PeerChannelPtr& channel,
                         uint64_t attempt,
                         bool sent);
  void OnAttemptEnded(RoutedCall& call, schema::HttpAnswer& answer);
  void RecordUse(const RoutedCall& call, const schema::HttpAnswer& answer);
  void OnNotRun(RoutedCall& call, const schema::HttpAnswer& answer);
  void OnAttemptLost(RoutedCall& call, bool sent);
  bool TryAcquireRetry(const RoutedCall& call);
  void TimeOut(RoutedCall& call);
  void OnClientDisconnected(uint64_t id);
  void CancelAttempt(RoutedCall& call);
  void ClearAttempt(RoutedCall& call);

  void ReplyCompleted(RoutedCall& call, schema::HttpAnswer& answer);
  /// No worker took the call for now: parks it or ends it.
  void WaitOrRefuse(RoutedCall& call);
  void ReplyNotRun(RoutedCall& call);
  bool IsRetryableFailure(const RoutedCall& call,
                          const schema::HttpAnswer& answer) const;
  void ReplyUnknown(RoutedCall& call, uint32_t status);
  void Finish(RoutedCall& call, event::HttpReply reply, absl::string_view how);
  void RejectUnrouted(const std::shared_ptr<event::HttpExchange>& exchange,
                      uint32_t status,
                      absl::string_view why);
  absl::Duration RetryAfter(const RoutedCall& call);
  retry::RetryBudgetSettings BudgetSettings() const;

  boost::asio::io_context& loop;
  const NodeSettings& settings;
  const RequestRouterSettings bounds;
  const HttpDialect& dialect;
  const StoreState& store;
  WorkerProxy& local_worker;
  PeerNetwork& peers;
  telemetry::EventLog& log;
  telemetry::RequestMetrics& metrics;
  std::mt19937_64 random;
  bool draining = false;
  uint64_t next_id = 1;
  uint64_t next_attempt = 1;
  absl::flat_hash_map<uint64_t, std::unique_ptr<RoutedCall>> calls;
  /// Call ids by the id of their attempt in progress.
  absl::flat_hash_map<uint64_t, uint64_t> calls_by_attempt;
  /// Attempts in flight by channel number.
  absl::flat_hash_map<uint64_t, uint32_t> attempts_by_channel;
  absl::flat_hash_map<std::string, routing::WeightedRoundRobin> splits;
  absl::flat_hash_map<std::string, retry::RetryBudget> budgets;
  routing::LoadTable loads;
  routing::RootRateLimiter root_gate;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_REQUEST_ROUTER_H_
