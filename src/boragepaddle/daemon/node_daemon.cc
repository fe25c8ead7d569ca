#include "boragepaddle/daemon/node_daemon.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/daemon/random_id.h"
#include "boragepaddle/transport/clock.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::daemon {

namespace {

constexpr size_t kOperatorConnections = 32;
constexpr uint32_t kStatusUnavailable = 503;
constexpr uint32_t kStatusBadRequest = 400;

transport::HttpListenerSettings ListenerSettings(size_t max_connections) {
  transport::HttpListenerSettings settings;
  settings.max_connections = max_connections;
  settings.overflow_handler = [](const transport::HttpCall& http) {
    return RefusalReply(http, schema::Reason::kTooManyConnections,
                        kStatusUnavailable);
  };
  settings.malformed_handler = [](const transport::HttpCall& http) {
    return RefusalReply(http, schema::Reason::kBadRequest, kStatusBadRequest);
  };
  return settings;
}

node::EgressSettings ToEgressSettings(const schema::NodeSettings& settings) {
  node::EgressSettings result;
  result.locality = {settings.availability_zone, settings.region,
                     settings.vm_id};
  result.policy = node::ParseEgressPolicy(settings.policy);
  return result;
}

}  // namespace

NodeDaemon::NodeDaemon(const schema::NodeSettings& settings)
    : settings(settings),
      incarnation(RandomBits()),
      rules(settings.founding_members),
      worker(settings.upstream_address),
      ingress(
          settings,
          this->incarnation,
          this->rules,
          this->contexts,
          this->worker,
          [this](const std::string& address) {
            return this->hub.Connect(address);
          },
          [this](absl::string_view service,
                 absl::string_view operation,
                 schema::CallClass call_class) {
            return this->egress.CalleesAdmit(
                this->rules.CalleesOf(service, operation), call_class);
          }),
      control(
          settings,
          this->rules,
          [this] { return this->MakeHello(); },
          [this](const membership::VmList& list) {
            this->egress.SetUpstreams(list.vms);
            this->ingress.SetVms(list.vms);
          }),
      router(this->ingress, this->attempts, this->control),
      hub([this] { return this->MakeHello(); }, this->router),
      egress(ToEgressSettings(settings), this->hub, this->attempts),
      callers(this->rules, this->contexts, this->egress, this->call_metrics),
      caller_listener(ListenerSettings(settings.max_connections),
                      [this](const transport::HttpCall& http) {
                        return this->callers.FromCaller(http);
                      }),
      worker_listener(ListenerSettings(settings.max_connections),
                      [this](const transport::HttpCall& http) {
                        return this->callers.FromWorker(http);
                      }),
      operator_listener(ListenerSettings(kOperatorConnections),
                        [this](const transport::HttpCall& http) {
                          return this->operators.Serve(http);
                        }) {
  this->AddOperatorHandlers();
}

NodeDaemon::~NodeDaemon() = default;

base::Result<BoundAddresses, transport::TransportError> NodeDaemon::Start() {
  auto socket = transport::Listen(this->settings.peer_address);
  if (!socket) {
    return socket.error();
  }
  this->peer_listener = std::make_unique<transport::PeerListener>(
      std::move(socket.value()), [this](transport::Socket accepted) {
        this->hub.Accept(std::move(accepted));
      });
  auto caller = this->caller_listener.Start(this->settings.caller_address);
  if (!caller) {
    return caller.error();
  }
  auto local = this->worker_listener.Start(this->settings.worker_address);
  if (!local) {
    return local.error();
  }
  auto operations =
      this->operator_listener.Start(this->settings.operator_address);
  if (!operations) {
    return operations.error();
  }
  this->ingress.SetWorkerListener(local.value());
  this->control.Start();
  return BoundAddresses{caller.value(), local.value(),
                        this->peer_listener->address(), operations.value()};
}

void NodeDaemon::StartLeaving() {
  if (this->leaving.exchange(true)) {
    return;
  }
  this->ingress.StartLeaving();
  this->callers.StartLeaving();
  this->hub.Broadcast(schema::Leaving{this->settings.vm_id, this->incarnation});
  // A caller that cannot connect knows that its request was not executed.
  this->caller_listener.StopAccepting();
}

bool NodeDaemon::IsDrained() {
  return this->ingress.IsDrained() && this->callers.IsDrained();
}

std::string NodeDaemon::DescribeWorkInFlight() {
  return absl::StrCat("calls_at_worker=", this->ingress.in_flight(),
                      " calls_of_callers=", this->callers.active());
}

schema::Hello NodeDaemon::MakeHello() {
  schema::Hello hello;
  hello.fleet = this->settings.fleet;
  hello.vm_id = this->settings.vm_id;
  hello.incarnation = this->incarnation;
  hello.member = this->settings.member;
  hello.service = this->settings.service;
  hello.availability_zone = this->settings.availability_zone;
  hello.region = this->settings.region;
  hello.leaving = this->leaving;
  hello.config_version = this->rules.Current()->version;
  hello.sent_at_us = absl::ToUnixMicros(transport::MonotonicNow());
  return hello;
}

void NodeDaemon::AddOperatorHandlers() {
  this->operators.Add("GET /healthz", [](const transport::HttpCall&) {
    return transport::HttpReply();
  });
  this->operators.Add("GET /readyz", [this](const transport::HttpCall&) {
    transport::HttpReply reply;
    const bool ready = this->control.ready() && !this->leaving;
    reply.status = ready ? 200 : kStatusUnavailable;
    return reply;
  });
  this->operators.Add("GET /status", [this](const transport::HttpCall&) {
    return this->Status();
  });
  this->operators.Add("GET /metrics", [this](const transport::HttpCall&) {
    transport::HttpReply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = this->call_metrics.ToText("boragepaddle_egress");
    return reply;
  });
  this->operators.Add("GET /audit", [this](const transport::HttpCall&) {
    transport::HttpReply reply;
    reply.body = this->rules.AuditJson();
    return reply;
  });
  this->operators.Add("POST /drain", [this](const transport::HttpCall&) {
    this->drain = true;
    return transport::HttpReply();
  });
}

transport::HttpReply NodeDaemon::Status() {
  transport::HttpReply reply;
  const nlohmann::json json = {
      {"vm_id", this->settings.vm_id},
      {"service", this->settings.service},
      {"incarnation", absl::StrCat(this->incarnation)},
      {"leaving", this->leaving.load()},
      {"config_version", this->rules.Current()->version},
      {"calls_at_worker", this->ingress.in_flight()},
      {"calls_of_callers", this->callers.active()},
      {"connections", this->hub.Links().size()},
      {"control", this->control.Status()}};
  reply.body = json.dump();
  return reply;
}

}  // namespace boragepaddle::daemon
