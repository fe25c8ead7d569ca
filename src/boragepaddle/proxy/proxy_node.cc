#include "boragepaddle/proxy/proxy_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/event/clock.h"

namespace boragepaddle::proxy {

namespace {

using event::PeerChannelPtr;
using telemetry::LogLine;

/// Resolution of time-outs and queue limits.
constexpr absl::Duration kTickInterval = absl::Milliseconds(20);

/// Interval of work without tight deadlines: connection time-outs and expiry.
constexpr absl::Duration kSlowTickInterval = absl::Milliseconds(200);

/// Interval of log lines about the costs of routes.
constexpr absl::Duration kCostLogInterval = absl::Seconds(1);

/// Interval of the checks for unresponsive peers.
constexpr absl::Duration kPeerTickInterval = absl::Milliseconds(100);

/// Interval of reloads, since the settings file may change without a signal.
constexpr absl::Duration kReloadInterval = absl::Milliseconds(500);

/// Gap between two ticks from which on the process or the VM is taken to have
/// been paused.
constexpr absl::Duration kMinPause = absl::Milliseconds(700);

/// Incomplete worker responses may use 1/4 of the memory; the rest is for
/// requests, complete responses and all other data.
constexpr uint64_t kHeldAnswersMemoryDivisor = 4;

/// Share of the memory for heads and bodies of requests and responses. The
/// rest, 64 MB on the smallest VM, is for the program and its state (about 20
/// MB), buffers of connections, fragmentation and the copies that exist while a
/// message is encoded. A body of 64 MiB fits into the share of 160 MB.
constexpr double kBudgetMemoryShare = 0.6;

/// Largest body of a probe or a request for metrics, which need none.
constexpr uint64_t kMaxProbeBodyBytes = 4096;

/// Seconds after which a client that was refused for lack of memory may retry.
/// Requests that stall are ended after 0.3 s, so there is room again by then.
constexpr char kMemoryRetryAfter[] = "1.000";

constexpr char kMetricsPath[] = "/metrics";

absl::string_view KindName(StoreChange::Kind kind) {
  switch (kind) {
    case StoreChange::Kind::kConfigAccepted:
      return "config_accepted";
    case StoreChange::Kind::kConfigRefused:
      return "config_refused";
    case StoreChange::Kind::kConfigRetained:
      return "config_retained";
    case StoreChange::Kind::kWorkerListed:
      return "worker_listed";
    case StoreChange::Kind::kWorkerRemoved:
      return "worker_removed";
    case StoreChange::Kind::kEntryIgnored:
      return "entry_ignored";
    case StoreChange::Kind::kUnchanged:
      return "unchanged";
  }
  return "invalid";
}

event::WorkerFieldNames FieldNames(const HttpDialect& dialect) {
  return {dialect.request_id, dialect.not_run};
}

/// All 64 bits are random: with 32, two of 25,000 processes would often be
/// taken for one. Never 0, which stands for an unknown process.
uint64_t RandomIncarnation() {
  std::random_device random;
  return uint64_t{random()} << 32 | random() | 1u;
}

StoreState MakeStore(const NodeSettings& settings,
                     const StoreDialect& dialect) {
  StoreState store;
  store.dialect = dialect;
  store.workers.settings.reregistration_grace = settings.lapsed_entry_retention;
  store.workers.settings.entry_lifetime = settings.entry_lifetime;
  return store;
}

}  // namespace

ProxyNode::ProxyNode(boost::asio::io_context& loop,
                     const NodeSettings& settings,
                     NodeDependencies parts,
                     telemetry::EventLog& log)
    : loop(loop),
      settings(settings),
      parts(std::move(parts)),
      log(log),
      incarnation(RandomIncarnation()),
      memory(static_cast<uint64_t>(static_cast<double>(settings.memory_bytes) *
                                   kBudgetMemoryShare)),
      store(MakeStore(this->settings, this->parts.store)),
      inbound_bodies(this->memory),
      workers(loop, FieldNames(this->parts.http), this->memory),
      quarantine(
          this->settings,
          log,
          [this](const schema::Message& message) {
            this->SendTo(this->ServiceHosts(), message);
          },
          [this](const schema::Message& message) {
            this->SendTo(this->WitnessHosts(), message);
          }),
      worker_side(this->settings,
                  this->parts.http,
                  this->store,
                  this->shutdown,
                  this->workers,
                  log,
                  this->metrics,
                  this->quarantine),
      peers(loop, this->MakePeerEvents()),
      account_limiter(loop, this->settings, this->store, this->peers, log),
      router(loop,
             this->settings,
             this->parts.http,
             this->store,
             this->shutdown,
             this->worker_side,
             this->quarantine,
             this->peers,
             this->account_limiter,
             this->body_sender,
             this->memory,
             log,
             this->metrics),
      client_server(
          loop,
          [this](const std::shared_ptr<event::HttpExchange>& exchange) {
            this->router.OnRequest(exchange);
          },
          this->MakeClientServerOptions()),
      readiness_server(
          loop,
          [this](const std::shared_ptr<event::HttpExchange>& exchange) {
            this->OnReadyProbe(exchange);
          },
          {&this->memory, {}, nullptr, nullptr}),
      metrics_server(
          loop,
          [this](const std::shared_ptr<event::HttpExchange>& exchange) {
            this->OnMetricsRequest(exchange);
          },
          {&this->memory, {}, nullptr, nullptr}),
      replicator(loop,
                 this->settings,
                 *this->parts.source,
                 this->peers,
                 log,
                 this->MakeReplicatorEvents()),
      timer(loop),
      started(event::BootNow()),
      last_tick(this->started),
      last_slow_tick(this->last_tick),
      last_peer_tick(this->last_tick),
      last_reload(this->last_tick) {
  event::HttpServerLimits limits;
  limits.max_body_bytes = kMaxProbeBodyBytes;
  this->readiness_server.SetLimits(limits);
  this->metrics_server.SetLimits(limits);
}

bool ProxyNode::Listen(event::HttpServer& server, const std::string& address) {
  const auto endpoint = event::ParseEndpoint(address);
  const auto error =
      endpoint
          ? server.Listen(*endpoint)
          : boost::system::error_code(boost::asio::error::invalid_argument);
  if (error) {
    this->log.LogState(LogLine("node", "listen_failed")
                           .Add("address", address)
                           .Add("errno", error.value()));
  }
  return !error;
}

bool ProxyNode::Start() {
  const auto worker = event::ParseEndpoint(this->settings.worker_address);
  const auto peer = event::ParseEndpoint(
      absl::StrCat(this->settings.host, ":", this->settings.peer_port));
  if (!worker || !peer || this->peers.Listen(*peer) ||
      !this->Listen(this->client_server, this->settings.caller_address) ||
      !this->Listen(this->readiness_server, this->settings.ready_address)) {
    return false;
  }
  // A node without a metrics listener still serves requests.
  this->Listen(this->metrics_server, absl::StrCat(this->settings.host, ":",
                                                  this->settings.metrics_port));
  this->workers.SetWorker(*worker);
  this->workers.SetMaxBufferedBytes(this->settings.memory_bytes /
                                    kHeldAnswersMemoryDivisor);
  this->replicator.Start();
  this->ScheduleTick();
  this->log.LogState(LogLine("node", "started")
                         .Add("vm", this->settings.vm_id)
                         .Add("zone", this->settings.availability_zone)
                         .Add("service", this->settings.service)
                         .Add("worker", this->settings.worker_address)
                         .Add("incarnation", this->incarnation));
  return true;
}

event::HttpServerOptions ProxyNode::MakeClientServerOptions() {
  event::HttpServerOptions options;
  options.memory = &this->memory;
  options.refusal_fields = {{this->parts.http.retry_after, kMemoryRetryAfter}};
  options.may_run_ahead = [this](const event::HttpRequest& request) {
    return this->router.MayRunAhead(request);
  };
  options.on_incident = [this](const event::HttpServerIncident& incident) {
    this->OnClientIncident(incident);
  };
  return options;
}

void ProxyNode::OnClientIncident(const event::HttpServerIncident& incident) {
  LogLine line("entry", "client_ended");
  if (incident.head != nullptr) {
    line.Add("request", event::FieldValue(incident.head->fields,
                                          this->parts.http.request_id))
        .Add("host", incident.head->host)
        .Add("target", incident.head->target);
  }
  line.Add("why", incident.reason)
      .Add("status", incident.status)
      .Add("held_bytes", incident.bytes_held)
      .Add("budget_used", this->memory.used())
      .Add("budget_limit", this->memory.limit());
  this->log.LogFailedRequest(line, event::BootNow());
}

StoreReplicatorEvents ProxyNode::MakeReplicatorEvents() {
  StoreReplicatorEvents events;
  events.on_changes = [this](const std::vector<schema::KeyValue>& items,
                             uint64_t era) {
    this->ReportChanges(ApplyItems(this->store, items, era, event::BootNow()));
  };
  events.lost_items = [this] { return LostItems(this->store); };
  events.on_lost_items = [this](const std::vector<schema::KeyValue>& items) {
    this->ReportChanges(ApplyLostItems(this->store, items, event::BootNow()));
  };
  events.on_outage = [this](absl::Time at) {
    catalog::OnSourceFailure(this->store.workers, at);
  };
  return events;
}

void ProxyNode::ReportChanges(const std::vector<StoreChange>& changes) {
  bool changed = false;
  for (const StoreChange& change : changes) {
    if (change.kind == StoreChange::Kind::kUnchanged) {
      continue;
    }
    changed = true;
    this->log.LogState(LogLine("store", KindName(change.kind))
                           .Add("key", change.key)
                           .Add("era", change.position.era)
                           .Add("revision", change.position.revision)
                           .Add("detail", change.detail));
  }
  if (changed) {
    this->OnStateChanged();
  }
}

void ProxyNode::OnStateChanged() {
  if (this->store.routes != nullptr) {
    const catalog::ClientLimits& client_limits = this->store.routes->limits;
    event::HttpServerLimits limits = this->client_server.limits();
    limits.max_connections = this->settings.max_descriptors / 2;
    limits.max_header_bytes = client_limits.max_header_bytes;
    limits.max_body_bytes = client_limits.max_body_bytes;
    limits.header_timeout = client_limits.header_timeout;
    limits.idle_timeout = client_limits.idle_timeout;
    this->client_server.SetLimits(limits);
  }
  this->replicator.SetHosts(this->store.workers);
  this->quarantine.OnSettingsChanged();
  this->worker_side.OnDirectoryChanged();
  this->router.OnDirectoryChanged();
  this->account_limiter.OnStateChanged();
  if (!this->requested_crash_reports) {
    this->RequestCrashReports();
  }
}

bool ProxyNode::IsReady() const {
  return this->shutdown.started_at == absl::InfiniteFuture() &&
         this->HasStoreState() &&
         this->replicator.HasInitialState(event::BootNow());
}

void ProxyNode::OnReadyProbe(
    const std::shared_ptr<event::HttpExchange>& exchange) {
  event::HttpReply reply;
  const bool known = exchange->request().target == this->parts.http.ready_path;
  reply.status = !known ? 404 : this->IsReady() ? 200 : 503;
  exchange->Reply(std::move(reply));
}

void ProxyNode::OnMetricsRequest(
    const std::shared_ptr<event::HttpExchange>& exchange) {
  event::HttpReply reply;
  if (exchange->request().target != kMetricsPath) {
    reply.status = 404;
    exchange->Reply(std::move(reply));
    return;
  }
  const schema::GateLoad load = this->worker_side.MakeLoadNotice().load;
  this->metrics.SetGauge("worker_running", load.running);
  this->metrics.SetGauge("worker_queued", load.queued);
  this->metrics.SetGauge("worker_limit", load.limit);
  this->metrics.SetGauge("worker_grant", load.grant / 1000.0);
  this->worker_side.SetSpeedGauges();
  this->metrics.SetGauge("entry_in_flight",
                         static_cast<double>(this->router.in_flight()));
  this->metrics.SetGauge(
      "root_backoff_lowest",
      routing::LowestBackoffFactor(this->router.rate_limiter()));
  this->metrics.SetGauge(
      "account_share_refusals",
      static_cast<double>(this->router.rate_limiter().account_refusals));
  this->metrics.SetGauge(
      "account_share_evictions",
      static_cast<double>(this->worker_side.account_evictions()));
  this->metrics.SetGauge("routes_without_cost",
                         static_cast<double>(routing::RoutesWithoutCost(
                             this->router.rate_limiter())));
  this->account_limiter.WriteMetrics(this->metrics);
  this->metrics.SetGauge(
      "config_revision",
      this->store.routes == nullptr
          ? 0
          : static_cast<double>(this->store.routes->position.revision));
  this->metrics.SetGauge(
      "config_era",
      this->store.routes == nullptr
          ? 0
          : static_cast<double>(this->store.routes->position.era));
  this->metrics.SetGauge("config_lost_by_store",
                         this->store.lost_config ? 1 : 0);
  this->metrics.SetGauge(
      "feed_revision",
      static_cast<double>(this->replicator.position().revision));
  this->metrics.SetGauge("feed_store_era",
                         static_cast<double>(this->replicator.position().era));
  this->metrics.SetGauge(
      "feed_store_era_age_seconds",
      absl::ToDoubleSeconds(this->replicator.EraAge(event::BootNow())));
  this->metrics.SetGauge("feed_store_answers",
                         static_cast<double>(this->replicator.store_answers()));
  this->metrics.SetGauge(
      "feed_age_seconds",
      absl::ToDoubleSeconds(this->replicator.CopyAge(event::BootNow())));
  this->metrics.SetGauge("feed_subscribers",
                         static_cast<double>(this->replicator.subscribers()));
  this->metrics.SetGauge("feed_reads_store",
                         this->replicator.state().reading ? 1 : 0);
  this->metrics.SetGauge("crash_suspects",
                         static_cast<double>(this->quarantine.suspects()));
  this->metrics.SetGauge("rejected_requests",
                         static_cast<double>(this->quarantine.rejections()));
  this->metrics.SetGauge("ready", this->IsReady() ? 1 : 0);
  this->metrics.SetGauge("memory_budget_used_bytes",
                         static_cast<double>(this->memory.used()));
  this->metrics.SetGauge("memory_budget_limit_bytes",
                         static_cast<double>(this->memory.limit()));
  const event::HttpServerCounters& ended = this->client_server.counters();
  this->metrics.SetGauge("clients_refused_no_memory",
                         static_cast<double>(ended.no_memory));
  this->metrics.SetGauge("clients_ended_stalled",
                         static_cast<double>(ended.ended_stalled));
  this->metrics.SetGauge("clients_rejected",
                         static_cast<double>(ended.rejected));
  reply.status = 200;
  reply.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  reply.body = this->metrics.ToText();
  exchange->Reply(std::move(reply));
}

void ProxyNode::ScheduleTick() {
  this->timer.expires_after(absl::ToChronoNanoseconds(kTickInterval));
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      // Rescheduled first, so that an exception in a tick does not end the
      // ticks.
      this->ScheduleTick();
      this->Tick();
    }
  });
}

void ProxyNode::Tick() {
  const absl::Time now = event::BootNow();
  const absl::Duration gap = now - this->last_tick;
  this->last_tick = now;
  if (gap > kMinPause) {
    this->OnProcessPause(now, gap);
  }
  this->account_limiter.Tick(now);
  this->router.Tick(now);
  this->worker_side.Tick(now);
  this->quarantine.Tick(now);
  this->ConnectForReports(now);
  this->ExpireCalls(now);
  this->BroadcastGrant(now);
  if (now - this->last_peer_tick >= kPeerTickInterval) {
    this->last_peer_tick = now;
    this->peers.Tick(now);
    this->replicator.Tick(now);
  }
  if (now - this->last_slow_tick >= kSlowTickInterval) {
    this->last_slow_tick = now;
    this->client_server.Tick(now);
    this->readiness_server.Tick(now);
    this->metrics_server.Tick(now);
    this->workers.Tick(now);
    if (catalog::ExpireWorkers(this->store.workers, now)) {
      this->OnStateChanged();
    }
    const bool is_current = this->replicator.IsCurrent(now);
    if (is_current) {
      this->store.workers.complete_at_ms =
          absl::ToUnixMillis(absl::Now() - this->replicator.CopyAge(now));
    }
    this->ReportChanges(ExpireLostConfig(this->store, is_current, now));
    if (this->IsReady() != this->was_ready) {
      this->was_ready = !this->was_ready;
      this->log.LogState(
          LogLine("node", this->was_ready ? "ready" : "not_ready"));
    }
  }
  if (now - this->costs_logged_at >= kCostLogInterval) {
    this->costs_logged_at = now;
    this->router.LogRootCosts(now);
  }
  if (now - this->last_reload >= kReloadInterval) {
    this->Reload();
  }
  this->AdvanceShutdown(now);
}

void ProxyNode::OnProcessPause(absl::Time now, absl::Duration gap) {
  this->log.LogState(
      LogLine("node", "paused").Add("ms", absl::ToInt64Milliseconds(gap)));
  catalog::OnSourceFailure(this->store.workers, now);
  this->worker_side.OnProcessPause();
  this->replicator.OnProcessPause(now);
}

void ProxyNode::Reload() {
  this->last_reload = event::BootNow();
  const absl::optional<NodeSettings> new_settings = this->parts.reload();
  if (!new_settings ||
      (new_settings->service == this->settings.service &&
       new_settings->worker_address == this->settings.worker_address)) {
    return;
  }
  this->settings.service = new_settings->service;
  this->settings.worker_address = new_settings->worker_address;
  const auto worker = event::ParseEndpoint(this->settings.worker_address);
  if (worker) {
    this->workers.SetWorker(*worker);
  }
  this->OnStateChanged();
  this->log.LogState(LogLine("node", "reloaded")
                         .Add("service", this->settings.service)
                         .Add("worker", this->settings.worker_address));
}

void ProxyNode::StartShutdown() {
  if (this->shutdown.started_at != absl::InfiniteFuture()) {
    return;
  }
  this->shutdown.started_at = event::BootNow();
  this->shutdown.settings.grace_period = this->settings.shutdown_grace_period;
  this->log.LogState(LogLine("node", "stopping")
                         .Add("entry_calls", this->router.in_flight())
                         .Add("worker_calls", this->worker_side.in_flight()));
  this->client_server.DisableKeepAlive();
  this->account_limiter.StartShutdown();
  this->worker_side.StartDraining();
  this->peers.Broadcast(this->worker_side.MakeLoadNotice());
}

void ProxyNode::AdvanceShutdown(absl::Time now) {
  if (this->shutdown.started_at == absl::InfiniteFuture()) {
    return;
  }
  ShutdownProgress progress;
  progress.elapsed = now - this->shutdown.started_at;
  progress.root_requests = this->router.RootRequestsInFlight();
  progress.entry_requests = this->router.in_flight();
  progress.worker_calls =
      this->worker_side.in_flight() + this->body_sender.AnswersInProgress();
  progress.busy_connections = this->client_server.BusyConnections();
  progress.mean_call_time = this->worker_side.mean_call_time();
  progress.longest_call_time = this->worker_side.LongestCallTime(now);
  const ShutdownState before = this->shutdown;
  Advance(this->shutdown, progress);
  this->ApplyShutdown(before, progress);
}

void ProxyNode::ApplyShutdown(const ShutdownState& before,
                              const ShutdownProgress& progress) {
  const ShutdownState& plan = this->shutdown;
  if (plan.listener_closed && !before.listener_closed) {
    this->client_server.StopListening();
    this->TellPeersOfEnd();
  }
  if (plan.ended) {
    this->log.LogState(LogLine("node", "stopped")
                           .Add("drained", plan.drained)
                           .Add("entry_calls", progress.entry_requests)
                           .Add("worker_calls", progress.worker_calls));
    this->router.LogUnfinished(event::BootNow());
    this->loop.stop();
  }
}

}  // namespace boragepaddle::proxy
