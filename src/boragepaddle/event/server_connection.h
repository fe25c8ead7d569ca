#ifndef BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_
#define BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "boragepaddle/event/http_exchange.h"
#include "boragepaddle/event/http_server.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// One connection of a client: reads a request, waits for the answer, writes
/// it, and so on.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpServer& server, Tcp::socket socket);

  void Start();
  /// Closes at once if no request is in progress.
  void CloseIfIdle();
  /// Enforces the time limits.
  void Tick(absl::Time now);
  bool busy() const {
    return this->phase != Phase::kIdle && this->phase != Phase::kLingering;
  }

 private:
  friend class ConnectionExchange;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  enum class Phase { kIdle, kReading, kAnswering, kWriting, kLingering };

  void ReadHead();
  void OnHead(const boost::system::error_code& error);
  void OnBody(const boost::system::error_code& error);
  void OnReadError(const boost::system::error_code& error);
  void DispatchRequest();
  void WaitForClientClose(uint64_t exchange);
  void Answer(uint64_t exchange, HttpReply reply);
  void WriteReply(HttpReply reply, bool keep_alive);
  void OnWritten(const boost::system::error_code& error);
  void SendErrorResponse(uint32_t status);
  void OnClientDisconnect();
  void Linger();
  void Close();

  HttpServer& server;
  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::optional<Parser> parser;
  boost::optional<Response> response;
  Phase phase = Phase::kIdle;
  bool keep_alive = true;
  bool head_request = false;
  bool closed = false;
  /// Number of the exchange in progress, so that late replies are dropped.
  uint64_t exchange_number = 0;
  std::function<void()> on_client_disconnect;
  absl::Time idle_since;
  /// When the first byte of an incomplete head was seen.
  absl::Time head_since = absl::InfiniteFuture();
  absl::Time last_progress;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SERVER_CONNECTION_H_
