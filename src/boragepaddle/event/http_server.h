#ifndef BORAGEPADDLE_EVENT_HTTP_SERVER_H_
#define BORAGEPADDLE_EVENT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "boragepaddle/event/accept_loop.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Bounds on clients.
struct HttpServerLimits {
  size_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
  size_t max_connections = 3000;
};

class ServerConnection;

/// HTTP/1.1 listener on the event loop. Requests are handed over whole;
/// malformed, oversized and slow ones are answered here.
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer(boost::asio::io_context& loop, Handler handler);
  ~HttpServer();

  /// Binds and accepts.
  boost::system::error_code Listen(const Tcp::endpoint& endpoint);

  void SetLimits(const HttpServerLimits& limits) {
    this->active_limits = limits;
  }
  const HttpServerLimits& limits() const { return this->active_limits; }

  /// Every later answer ends its connection.
  void DisableKeepAlive();
  /// Stops accepting and closes connections without a request.
  void StopListening();
  /// Enforces the time limits. Called regularly.
  void Tick(absl::Time now);

  /// Address that the listener is bound to.
  Tcp::endpoint endpoint() const { return this->listener.endpoint(); }
  bool keep_alive_disabled() const { return this->is_keep_alive_disabled; }
  size_t connections() const { return this->open_connections.size(); }
  /// Connections with a request that is being read or answered.
  size_t BusyConnections() const;

 private:
  friend class ServerConnection;

  void OnAccepted(Tcp::socket socket);

  boost::asio::io_context& loop;
  Handler handler;
  AcceptLoop listener;
  HttpServerLimits active_limits;
  bool is_keep_alive_disabled = false;
  absl::flat_hash_set<std::shared_ptr<ServerConnection>> open_connections;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_SERVER_H_
