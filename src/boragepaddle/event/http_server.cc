#include "boragepaddle/event/http_server.h"

#include <limits>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "boragepaddle/event/clock.h"
#include "boragepaddle/event/server_connection.h"

namespace boragepaddle::event {

namespace {

/// Length of the accept queue. If it is full, the kernel drops the client's
/// SYN, which is retransmitted only after one second.
constexpr int kListenBacklog = 1024;

/// Largest read: what a client sends in a few round trips.
constexpr size_t kReceiveBytes = 64u << 10;

/// Requests and responses up to this size may use the reserve of the budget.
/// Large enough for most requests; the rest of the budget is out of their way.
constexpr uint64_t kSmallBytes = 64u << 10;

/// Part of the budget that is reserved for small requests: 1/10. With the
/// smallest memory of a VM, 160 MB, and half of it as the budget, a body of
/// 64 MiB then still fits beside the reserve of 8 MB.
constexpr uint64_t kSmallReserveDivisor = 10;

MemoryBudget& UnlimitedBudget() {
  // Never destroyed, since exchanges may outlive their server.
  static auto* const budget =
      new MemoryBudget(std::numeric_limits<uint64_t>::max());
  return *budget;
}

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& loop,
                       Handler handler,
                       HttpServerOptions options)
    : loop(loop),
      handler(std::move(handler)),
      options(std::move(options)),
      memory(this->options.memory == nullptr ? UnlimitedBudget()
                                             : *this->options.memory),
      listener(
          loop,
          [this](Tcp::socket socket) { this->OnAccepted(std::move(socket)); }),
      receive_buffer(kReceiveBytes) {}

// Operations that are still pending on the event loop keep connections alive,
// which must not release memory to the budget after its end.
HttpServer::~HttpServer() {
  for (const auto& connection : this->open_connections) {
    connection->Detach();
  }
}

boost::system::error_code HttpServer::Listen(const Tcp::endpoint& endpoint) {
  return this->listener.Listen(endpoint, kListenBacklog);
}

void HttpServer::OnAccepted(Tcp::socket socket) {
  if (this->open_connections.size() >= this->active_limits.max_connections) {
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  this->open_connections.insert(connection);
  connection->Start();
}

bool HttpServer::MayRunAhead(const HttpRequest& request) const {
  return this->options.may_run_ahead && this->options.may_run_ahead(request);
}

bool HttpServer::Reserve(MemoryReservation& reservation, uint64_t bytes) {
  if (bytes <= reservation.bytes()) {
    return reservation.Resize(bytes);
  }
  const uint64_t limit = this->memory.limit();
  const uint64_t usable =
      bytes <= kSmallBytes ? limit : limit - limit / kSmallReserveDivisor;
  if (bytes > usable) {
    return false;
  }
  while (true) {
    const uint64_t more = bytes - reservation.bytes();
    if (this->memory.used() <= usable && more <= usable - this->memory.used() &&
        reservation.Resize(bytes)) {
      return true;
    }
    if (!this->EndLongestStalled()) {
      return false;
    }
  }
}

bool HttpServer::EndLongestStalled() {
  std::shared_ptr<ServerConnection> longest;
  absl::Time earliest = BootNow();
  for (const auto& connection : this->open_connections) {
    const absl::Time at = connection->evictable_at();
    if (at <= earliest) {
      earliest = at;
      longest = connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->EndStalled();
  return true;
}

void HttpServer::ReportIncident(const HttpServerIncident& incident) {
  if (absl::StartsWith(incident.reason, "ended_")) {
    ++this->incident_counts.ended_stalled;
  } else if (absl::StartsWith(incident.reason, "no_memory")) {
    ++this->incident_counts.no_memory;
  } else {
    ++this->incident_counts.rejected;
  }
  if (this->options.on_incident) {
    this->options.on_incident(incident);
  }
}

void HttpServer::DisableKeepAlive() {
  this->is_keep_alive_disabled = true;
}

void HttpServer::StopListening() {
  this->listener.Close();
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->open_connections.begin(), this->open_connections.end());
  for (const auto& connection : all) {
    connection->CloseIfIdle();
  }
}

void HttpServer::Tick(absl::Time now) {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      this->open_connections.begin(), this->open_connections.end());
  for (const auto& connection : all) {
    connection->Tick(now);
  }
}

size_t HttpServer::BusyConnections() const {
  size_t count = 0;
  for (const auto& connection : this->open_connections) {
    count += connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace boragepaddle::event
