#include "boragepaddle/transport/http_listener.h"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "boragepaddle/transport/elastic_pool.h"
#include "boragepaddle/transport/http_stream.h"
#include "boragepaddle/transport/socket.h"

namespace boragepaddle::transport {

namespace {

// With cpp-httplib's backlog of 5, the kernel would drop connections during a
// load surge before admission control sees them.
constexpr int kListenBacklog = 4096;

/// True on threads that serve a connection beyond the limit.
thread_local bool serving_overflow = false;

/// True once a handler, rather than cpp-httplib, has answered the request on
/// this thread.
thread_local bool answered_by_handler = false;

/// True if the handler requested to close the connection after the response.
thread_local bool close_after_answer = false;

/// Runs connections on the main pool, or on the overflow pool if all threads of
/// the main pool are busy.
class ConnectionQueue : public httplib::TaskQueue {
 public:
  ConnectionQueue(size_t max_connections, size_t overflow_threads)
      : connections(max_connections), overflow(overflow_threads) {}

  void enqueue(std::function<void()> serve) override {
    if (this->connections.TrySubmit(serve)) {
      return;
    }
    this->overflow.Submit([serve = std::move(serve)] {
      serving_overflow = true;
      serve();
    });
  }

  void shutdown() override {
    this->connections.Stop();
    this->overflow.Stop();
  }

 private:
  ElasticPool connections;
  ElasticPool overflow;
};

void FillResponse(const HttpReply& reply, httplib::Response& response) {
  response.status = static_cast<int>(reply.status);
  if (reply.close_connection) {
    response.set_header("Connection", "close");
    close_after_answer = true;
  }
  for (const HttpHeader& header : reply.headers) {
    response.set_header(header.name, header.value);
  }
  response.set_content(reply.body, reply.content_type);
}

}  // namespace

/// Replaces the connection loop of cpp-httplib, which wakes up every 10 ms per
/// idle connection and sleeps for up to 1 ms before it sees a new request.
class HttpListener::Impl : public httplib::Server {
 public:
  Impl(const HttpListenerSettings& settings, HttpHandler handler)
      : settings(settings), handler(std::move(handler)) {
    this->new_task_queue = [this] {
      return new ConnectionQueue(this->settings.max_connections,
                                 this->settings.overflow_threads);
    };
    this->set_payload_max_length(settings.max_body_bytes);
    this->set_tcp_nodelay(true);
    this->set_socket_options([this](socket_t fd) {
      const int on = 1;
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      this->listen_fd = fd;
    });
    this->set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          return this->ServeOverflow(request, response);
        });
    this->set_error_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          this->AddErrorHeaders(request, response);
        });
    const auto serve = [this](const httplib::Request& request,
                              httplib::Response& response) {
      this->Serve(request, response);
    };
    this->Get(".*", serve);
    this->Post(".*", serve);
    this->Put(".*", serve);
  }

  base::Result<std::string, TransportError> Bind(absl::string_view address) {
    auto parsed = ParseAddress(address);
    if (!parsed) {
      return parsed.error();
    }
    const std::string& host = parsed.value().host;
    int port = parsed.value().port;
    if (port == 0) {
      port = this->bind_to_any_port(host);
    } else if (!this->bind_to_port(host, port)) {
      port = -1;
    }
    if (port <= 0 || ::listen(this->listen_fd, kListenBacklog) != 0) {
      return TransportError{TransportErrorCode::kCannotListen, errno};
    }
    return absl::StrCat(host, ":", port);
  }

  void Run() {
    this->accept_thread = std::thread([this] { this->listen_after_bind(); });
  }

  void StopAccepting() {
    absl::MutexLock lock(&this->stop_mutex);
    if (this->accept_thread.joinable()) {
      this->stop();
      this->accept_thread.join();
    }
  }

  void Shutdown() {
    this->stopping = true;
    this->CloseIdle();
    this->StopAccepting();
  }

 private:
  bool process_and_close_socket(socket_t fd) override {
    this->ServeConnection(fd);
    shutdown(fd, SHUT_RDWR);
    close(fd);
    return true;
  }

  void ServeConnection(socket_t fd) {
    HttpStream stream(
        fd, {this->settings.io_timeout, this->settings.request_timeout,
             this->settings.max_head_bytes + this->settings.max_body_bytes});
    while (!this->stopping) {
      this->SetIdle(fd, true);
      const bool readable = stream.WaitForRequest(this->settings.idle_timeout);
      this->SetIdle(fd, false);
      if (!readable) {
        return;
      }
      bool closed = false;
      answered_by_handler = false;
      close_after_answer = false;
      const auto setup = [](httplib::Request&) {};
      if (!this->process_request(stream, serving_overflow, closed, setup) ||
          closed || serving_overflow || close_after_answer ||
          !answered_by_handler) {
        // The connection is closed after a malformed request, so that the rest
        // of it is not parsed as the next request.
        return;
      }
    }
  }

  HandlerResponse ServeOverflow(const httplib::Request& request,
                                httplib::Response& response) {
    if (!serving_overflow) {
      return HandlerResponse::Unhandled;
    }
    answered_by_handler = true;
    FillResponse(this->settings.overflow_handler(ToCall(request)), response);
    return HandlerResponse::Handled;
  }

  /// Adds the headers that callers expect to error responses that cpp-httplib
  /// creates itself.
  void AddErrorHeaders(const httplib::Request& request,
                       httplib::Response& response) {
    if (answered_by_handler) {
      return;
    }
    const HttpReply reply = this->settings.malformed_handler(ToCall(request));
    for (const HttpHeader& header : reply.headers) {
      response.set_header(header.name, header.value);
    }
  }

  void Serve(const httplib::Request& request, httplib::Response& response) {
    answered_by_handler = true;
    FillResponse(this->handler(ToCall(request)), response);
  }

  /// The returned call refers to `request` and must not outlive it.
  static HttpCall ToCall(const httplib::Request& request) {
    HttpCall call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    call.header = [&request](absl::string_view name) {
      return request.get_header_value(std::string(name));
    };
    const int fd = current_fd;
    call.connected = [fd] { return IsConnected(fd); };
    return call;
  }

  void SetIdle(socket_t fd, bool idle) {
    current_fd = fd;
    absl::MutexLock lock(&this->mutex);
    if (idle) {
      this->idle_fds.insert(fd);
    } else {
      this->idle_fds.erase(fd);
    }
  }

  void CloseIdle() {
    absl::MutexLock lock(&this->mutex);
    for (const socket_t fd : this->idle_fds) {
      shutdown(fd, SHUT_RD);
    }
  }

  static thread_local int current_fd;

  const HttpListenerSettings settings;
  const HttpHandler handler;
  int listen_fd = -1;
  std::atomic<bool> stopping{false};
  absl::Mutex stop_mutex;
  std::thread accept_thread;
  absl::Mutex mutex;
  absl::flat_hash_set<socket_t> idle_fds ABSL_GUARDED_BY(mutex);
};

thread_local int HttpListener::Impl::current_fd = -1;

HttpListener::HttpListener(const HttpListenerSettings& settings,
                           HttpHandler handler)
    : impl(std::make_unique<Impl>(settings, std::move(handler))) {}

HttpListener::~HttpListener() {
  this->Stop();
}

base::Result<std::string, TransportError> HttpListener::Start(
    absl::string_view address) {
  auto bound = this->impl->Bind(address);
  if (bound) {
    this->impl->Run();
  }
  return bound;
}

void HttpListener::StopAccepting() {
  this->impl->StopAccepting();
}

void HttpListener::Stop() {
  this->impl->Shutdown();
}

}  // namespace boragepaddle::transport
