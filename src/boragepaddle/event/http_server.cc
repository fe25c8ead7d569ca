#include "boragepaddle/event/http_server.h"

#include <utility>
#include <vector>

#include "boragepaddle/event/server_connection.h"

namespace boragepaddle::event {

namespace {

/// Connections that wait to be accepted. A full queue makes the kernel drop
/// the opening packet, which is sent again only after a second.
constexpr int kListenBacklog = 1024;

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& loop, Handler handler)
    : loop(loop),
      handler(std::move(handler)),
      listener(loop, [this](Tcp::socket socket) {
        this->OnAccepted(std::move(socket));
      }) {}

HttpServer::~HttpServer() = default;

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
