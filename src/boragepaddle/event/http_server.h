#ifndef BORAGEPADDLE_EVENT_HTTP_SERVER_H_
#define BORAGEPADDLE_EVENT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/accept_loop.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Limits on clients.
struct HttpServerLimits {
  size_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
  size_t max_connections = 3000;
  /// Requests of one connection that are read before the first is answered.
  size_t max_pipelined_requests = 8;
};

/// A request or connection that the server ended by itself.
struct HttpServerIncident {
  absl::string_view reason;
  /// Status of the response; 0 if the connection is closed without one.
  uint32_t status = 0;
  /// Bytes that the request or response held.
  uint64_t bytes_held = 0;
  /// Request without its body; null if its head was not read in full.
  const HttpRequest* head = nullptr;
};

/// Optional dependencies of a server.
struct HttpServerOptions {
  /// Budget for requests and responses, which must outlive all exchanges; null
  /// for no limit.
  MemoryBudget* memory = nullptr;
  /// Header fields of responses with status 503 of the server itself.
  std::vector<schema::HttpField> refusal_fields;
  /// True if a request may be passed to the handler while an earlier one of its
  /// connection has not been answered. Without it, none may.
  std::function<bool(const HttpRequest&)> may_run_ahead;
  std::function<void(const HttpServerIncident&)> on_incident;
};

/// Numbers of incidents since the start.
struct HttpServerCounters {
  /// Refused, or not answered, for lack of memory.
  uint64_t no_memory = 0;
  /// Ended to free memory, since the client had stalled.
  uint64_t ended_stalled = 0;
  /// Malformed, too large or too slow.
  uint64_t rejected = 0;
};

class ServerConnection;

/// HTTP/1.1 server on the event loop. The handler gets complete requests; the
/// server itself answers malformed, oversized and slow ones, and those for
/// which there is no memory, with an error.
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer(boost::asio::io_context& loop,
             Handler handler,
             HttpServerOptions options = {});
  ~HttpServer();

  /// Binds to the endpoint and starts to accept connections.
  boost::system::error_code Listen(const Tcp::endpoint& endpoint);

  void SetLimits(const HttpServerLimits& limits) {
    this->active_limits = limits;
  }
  const HttpServerLimits& limits() const { return this->active_limits; }

  /// Makes every further response close its connection.
  void DisableKeepAlive();
  /// Stops accepting connections and closes idle ones.
  void StopListening();
  /// Enforces the timeouts. Must be called periodically.
  void Tick(absl::Time now);

  /// Address to which the listener is bound.
  Tcp::endpoint endpoint() const { return this->listener.endpoint(); }
  bool keep_alive_disabled() const { return this->is_keep_alive_disabled; }
  size_t connections() const { return this->open_connections.size(); }
  /// Number of connections on which a request is being read or answered.
  size_t BusyConnections() const;
  const HttpServerCounters& counters() const { return this->incident_counts; }

 private:
  friend class ServerConnection;

  void OnAccepted(Tcp::socket socket);
  bool MayRunAhead(const HttpRequest& request) const;
  /// Resizes a reservation. Ends stalled requests of other connections if there
  /// is not enough memory; false if that is not enough either.
  bool Reserve(MemoryReservation& reservation, uint64_t bytes);
  /// False if no client has stalled for long enough.
  bool EndLongestStalled();
  void ReportIncident(const HttpServerIncident& incident);

  boost::asio::io_context& loop;
  Handler handler;
  HttpServerOptions options;
  MemoryBudget& memory;
  AcceptLoop listener;
  HttpServerLimits active_limits;
  HttpServerCounters incident_counts;
  bool is_keep_alive_disabled = false;
  /// Receives the input of all connections, one after the other.
  std::vector<char> receive_buffer;
  absl::flat_hash_set<std::shared_ptr<ServerConnection>> open_connections;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_SERVER_H_
