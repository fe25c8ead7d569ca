#include "emulator/http_listener.h"

#include <sys/socket.h>

#include "emulator/elastic_thread_pool.h"

namespace emulator {
namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kKeepAliveRequests = 100'000'000;
constexpr time_t kKeepAliveSeconds = 300;
// Control and log requests must be answered while all connections are busy.
constexpr size_t kReservedConnections = 32;
constexpr char kHost[] = "127.0.0.1";

}  // namespace

HttpListener::HttpListener(HttpListenerSettings settings) : settings(settings) {
  const size_t threads = settings.connections + kReservedConnections;
  this->server.new_task_queue = [threads] {
    return new ElasticThreadPool(threads);
  };
  this->server.set_keep_alive_max_count(kKeepAliveRequests);
  this->server.set_keep_alive_timeout(kKeepAliveSeconds);
  // The library writes headers and body separately, which costs up to 40 ms
  // of delayed acknowledgement without this option.
  this->server.set_tcp_nodelay(true);
  this->server.set_socket_options([this](socket_t socket) {
    this->listening_socket = socket;
    httplib::default_socket_options(socket);
  });
}

int HttpListener::Bind() {
  int port = this->settings.port;
  if (port == 0) {
    port = this->server.bind_to_any_port(kHost);
  } else if (!this->server.bind_to_port(kHost, port)) {
    port = -1;
  }
  if (port > 0) {
    // The library listens with a fixed backlog of 5.
    listen(this->listening_socket, kListenBacklog);
  }
  return port;
}

void HttpListener::Serve() {
  this->server.listen_after_bind();
}

void HttpListener::Stop() {
  this->server.stop();
}

void SetJsonResponse(const std::string& json,
                     int status,
                     httplib::Response* response) {
  response->status = status;
  response->set_content(json, "application/json");
}

}  // namespace emulator
