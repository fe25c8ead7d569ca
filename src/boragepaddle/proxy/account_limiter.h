#ifndef BORAGEPADDLE_PROXY_ACCOUNT_LIMITER_H_
#define BORAGEPADDLE_PROXY_ACCOUNT_LIMITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/limits/credit_node.h"
#include "boragepaddle/proxy/node_settings.h"
#include "boragepaddle/proxy/peer_network.h"
#include "boragepaddle/proxy/store_state.h"
#include "boragepaddle/telemetry/event_log.h"
#include "boragepaddle/telemetry/request_metrics.h"

namespace boragepaddle::proxy {

/// Enforces the rate limits of client accounts together with the other nodes:
/// messages, time limits, log lines and metrics for a limits::CreditNode.
class AccountLimiter {
 public:
  /// Called for each pending request with its id.
  using VerdictCallback =
      std::function<void(uint64_t, const limits::CreditVerdict&)>;

  AccountLimiter(boost::asio::io_context& loop,
                 const NodeSettings& settings,
                 const StoreState& store,
                 PeerNetwork& peers,
                 telemetry::EventLog& log);

  void SetCallback(VerdictCallback callback) {
    this->on_verdict = std::move(callback);
  }

  /// Takes credit for one request. If it is pending, the callback follows
  /// within about 50 ms unless the request is cancelled. Callbacks for other
  /// requests may come before this returns.
  limits::CreditVerdict Take(absl::string_view account, uint64_t request);

  /// The request with credit until `expires` was not run.
  void Return(absl::string_view account, absl::Time expires);

  /// The pending request has ended.
  void Cancel(absl::string_view account, uint64_t request);

  /// Handles a message of another node; false if it is of another kind.
  bool OnMessage(const event::PeerChannelPtr& channel,
                 const schema::Message& message);
  void OnChannelClosed(const event::PeerChannelPtr& channel);

  /// The configuration or the list of workers changed.
  void OnStateChanged();

  /// Grants no more: the node is about to end.
  void StartShutdown();

  void Tick(absl::Time now);
  void WriteMetrics(telemetry::RequestMetrics& metrics) const;

 private:
  void Perform(limits::CreditOutput output);
  void Send(const std::string& host, const schema::Message& message);
  void ScheduleTimer();
  void LogChanges(absl::Time now);

  boost::asio::io_context& loop;
  const NodeSettings& settings;
  const StoreState& store;
  PeerNetwork& peers;
  telemetry::EventLog& log;
  limits::CreditNode node;
  VerdictCallback on_verdict;
  /// Runs while an inquiry is active.
  boost::asio::steady_timer timer;
  bool is_timer_running = false;
  uint64_t hosts_generation = 0;
  std::shared_ptr<const catalog::RouteCatalog> routes;
  absl::Time logged_at = absl::InfinitePast();
  limits::CreditCounters logged;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_ACCOUNT_LIMITER_H_
