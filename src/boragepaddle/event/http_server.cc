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
      listener(loop,
               [this](Tcp::socket socket) { this->Take(std::move(socket)); }) {}

HttpServer::~HttpServer() = default;

boost::system::error_code HttpServer::Listen(const Tcp::endpoint& endpoint) {
  return this->listener.Listen(endpoint, kListenBacklog);
}

void HttpServer::Take(Tcp::socket socket) {
  if (this->open.size() >= this->limits_in_force.max_connections) {
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  this->open.insert(connection);
  connection->Start();
}

void HttpServer::StartClosing() {
  this->is_closing = true;
}

void HttpServer::StopListening() {
  this->listener.Close();
  const std::vector<std::shared_ptr<ServerConnection>> all(this->open.begin(),
                                                           this->open.end());
  for (const auto& connection : all) {
    connection->CloseIfIdle();
  }
}

void HttpServer::Tick(absl::Time now) {
  const std::vector<std::shared_ptr<ServerConnection>> all(this->open.begin(),
                                                           this->open.end());
  for (const auto& connection : all) {
    connection->Tick(now);
  }
}

size_t HttpServer::Busy() const {
  size_t count = 0;
  for (const auto& connection : this->open) {
    count += connection->busy() ? 1 : 0;
  }
  return count;
}

}  // namespace boragepaddle::event
