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

/// Limits on clients.
struct HttpServerLimits {
  size_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
  size_t max_connections = 3000;
};

class ServerConnection;

/// HTTP/1.1 server on the event loop. The handler gets complete requests; the
/// server itself answers malformed, oversized and slow ones with an error.
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer(boost::asio::io_context& loop, Handler handler);
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
