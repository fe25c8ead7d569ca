#include "boragepaddle/proxy/account_limiter.h"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/limits/credit_inquiry.h"

namespace boragepaddle::proxy {

namespace {

using telemetry::LogLine;

/// Resolution of the time limits of inquiries.
constexpr absl::Duration kTimerInterval = absl::Milliseconds(10);

/// Interval of log lines with the counts of fallback decisions.
constexpr absl::Duration kLogInterval = absl::Seconds(1);

}  // namespace

AccountLimiter::AccountLimiter(boost::asio::io_context& loop,
                               const NodeSettings& settings,
                               const StoreState& store,
                               PeerNetwork& peers,
                               telemetry::EventLog& log)
    : loop(loop),
      settings(settings),
      store(store),
      peers(peers),
      log(log),
      timer(loop) {
  this->node.host = settings.host;
}

limits::CreditVerdict AccountLimiter::Take(absl::string_view account,
                                           uint64_t request) {
  limits::CreditOutput output;
  const limits::CreditVerdict verdict = limits::TakeCredit(
      this->node, account, request, event::BootNow(), output);
  this->Perform(std::move(output));
  return verdict;
}

void AccountLimiter::Return(absl::string_view account, absl::Time expires) {
  limits::ReturnCredit(this->node, account, expires, event::BootNow());
}

void AccountLimiter::Cancel(absl::string_view account, uint64_t request) {
  limits::CancelWaiter(this->node, account, request);
}

bool AccountLimiter::OnMessage(const event::PeerChannelPtr& channel,
                               const schema::Message& message) {
  const absl::Time now = event::BootNow();
  if (!this->node.accounts.empty()) {
    limits::OnHeard(this->node, channel->host, now);
  }
  limits::CreditOutput output;
  if (const auto* request = std::get_if<schema::CreditRequest>(&message)) {
    // The answer goes back on the channel of the request.
    limits::OnMessage(this->node, channel->host, *request, now, output);
    for (const limits::CreditMessage& answer : output.messages) {
      if (!channel->Send(answer.message)) {
        this->log.LogState(
            LogLine("credit", "grant_not_sent").Add("host", channel->host));
      }
    }
    return true;
  }
  if (const auto* grant = std::get_if<schema::CreditGrant>(&message)) {
    limits::OnMessage(this->node, channel->host, *grant, now, output);
    this->Perform(std::move(output));
    return true;
  }
  if (const auto* handover = std::get_if<schema::CreditHandover>(&message)) {
    limits::OnMessage(this->node, *handover, now);
    this->log.LogState(LogLine("credit", "handover_received")
                           .Add("account", handover->account)
                           .Add("host", channel->host)
                           .Add("milli_tokens", handover->milli_tokens));
    return true;
  }
  return false;
}

void AccountLimiter::OnChannelClosed(const event::PeerChannelPtr& channel) {
  if (channel->was_accepted()) {
    return;
  }
  limits::CreditOutput output;
  limits::OnConnectionClosed(this->node, channel->host, channel->was_open(),
                             channel->was_refused(), event::BootNow(), output);
  this->Perform(std::move(output));
}

void AccountLimiter::OnStateChanged() {
  const absl::Time now = event::BootNow();
  limits::CreditOutput output;
  if (this->store.routes != this->routes && this->store.routes != nullptr) {
    this->routes = this->store.routes;
    limits::CreditAccounts accounts;
    for (const catalog::ClientAccount& account : this->routes->accounts) {
      if (account.rate_per_s > 0) {
        accounts[account.name] = {account.rate_per_s, account.burst};
      }
    }
    limits::SetAccounts(this->node, accounts, this->routes->position.revision,
                        now, output);
    // A deployment that begins to use limits needs the hosts.
    this->hosts_generation = 0;
  }
  if (!this->node.accounts.empty() &&
      this->store.workers.generation != this->hosts_generation) {
    this->hosts_generation = this->store.workers.generation;
    limits::CreditHosts hosts;
    for (const auto& [instance, worker] : this->store.workers.entries) {
      hosts[worker.host] = worker.availability_zone;
    }
    limits::SetHosts(this->node, std::move(hosts), now, output);
  }
  this->Perform(std::move(output));
}

void AccountLimiter::StartShutdown() {
  this->node.stopping = true;
}

void AccountLimiter::Perform(limits::CreditOutput output) {
  for (const limits::CreditMessage& message : output.messages) {
    if (const auto* handover =
            std::get_if<schema::CreditHandover>(&message.message)) {
      this->log.LogState(LogLine("credit", "handover_sent")
                             .Add("account", handover->account)
                             .Add("host", message.host)
                             .Add("milli_tokens", handover->milli_tokens));
    }
    this->Send(message.host, message.message);
  }
  for (const limits::ResolvedWaiter& resolved : output.resolved) {
    this->on_verdict(resolved.id, resolved.verdict);
  }
  this->ScheduleTimer();
}

void AccountLimiter::Send(const std::string& host,
                          const schema::Message& message) {
  const event::PeerChannelPtr channel =
      this->peers.ChannelTo(host, this->settings.peer_port);
  if (channel != nullptr && channel->Send(message)) {
    return;
  }
  boost::asio::post(this->loop, [this, host] {
    limits::CreditOutput output;
    limits::OnConnectionClosed(this->node, host, /*was_open=*/false,
                               /*refused=*/false, event::BootNow(), output);
    this->Perform(std::move(output));
  });
}

void AccountLimiter::ScheduleTimer() {
  if (this->is_timer_running || this->node.inquiring.empty()) {
    return;
  }
  this->is_timer_running = true;
  this->timer.expires_after(absl::ToChronoNanoseconds(kTimerInterval));
  this->timer.async_wait([this](const boost::system::error_code& error) {
    this->is_timer_running = false;
    if (error) {
      return;
    }
    limits::CreditOutput output;
    limits::AdvanceInquiries(this->node, event::BootNow(), output);
    this->Perform(std::move(output));
  });
}

void AccountLimiter::Tick(absl::Time now) {
  if (this->node.accounts.empty()) {
    return;
  }
  limits::CreditOutput output;
  limits::Advance(this->node, now, output);
  this->Perform(std::move(output));
  if (now - this->logged_at >= kLogInterval) {
    this->logged_at = now;
    this->LogChanges(now);
  }
}

// One line per second tells that, and why, limits are not decided by the owner.
void AccountLimiter::LogChanges(absl::Time now) {
  const limits::CreditCounters& counters = this->node.counters;
  const bool is_partitioned = limits::IsPartitioned(this->node, now);
  const uint64_t deputy =
      counters.deputy_inquiries - this->logged.deputy_inquiries;
  const uint64_t deputy_refused =
      counters.deputy_refused_inquiries - this->logged.deputy_refused_inquiries;
  const uint64_t alone_granted =
      counters.fallback_granted - this->logged.fallback_granted;
  const uint64_t alone_denied =
      counters.fallback_denied - this->logged.fallback_denied;
  this->logged = counters;
  if (!is_partitioned && deputy + deputy_refused == 0 &&
      alone_granted + alone_denied == 0) {
    return;
  }
  LogLine line("credit", "degraded");
  line.Add("partitioned", is_partitioned)
      .Add("asked_deputy_owner_silent", deputy)
      .Add("asked_deputy_owner_refused", deputy_refused)
      .Add("alone_granted", alone_granted)
      .Add("alone_denied", alone_denied);
  for (const auto& [host, trouble] : this->node.troubled_hosts) {
    line.Add("host",
             absl::StrCat(host, trouble.trouble == limits::HostTrouble::kRefused
                                    ? ":refused"
                                    : ":silent"));
  }
  this->log.LogState(line);
}

void AccountLimiter::WriteMetrics(telemetry::RequestMetrics& metrics) const {
  const limits::CreditCounters& counters = this->node.counters;
  const auto set = [&metrics](absl::string_view name, uint64_t value) {
    metrics.SetGauge(name, static_cast<double>(value));
  };
  set("credit_granted", counters.granted);
  set("credit_denied", counters.denied);
  set("credit_inquiries", counters.inquiries);
  set("credit_owner_answers", counters.owner_grants);
  set("credit_handovers", counters.handovers);
  set("credit_waits", counters.waits);
  metrics.SetGauge("credit_wait_seconds_sum",
                   absl::ToDoubleSeconds(counters.waited));
  set("credit_deputy_owner_silent", counters.deputy_inquiries);
  set("credit_deputy_owner_refused", counters.deputy_refused_inquiries);
  set("credit_alone_granted", counters.fallback_granted);
  set("credit_alone_denied", counters.fallback_denied);
  set("credit_restricted",
      event::BootNow() < this->node.restricted_until ? 1 : 0);
}

}  // namespace boragepaddle::proxy
