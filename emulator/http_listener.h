#ifndef EMULATOR_HTTP_LISTENER_H_
#define EMULATOR_HTTP_LISTENER_H_

#include <httplib.h>

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"

namespace emulator {

struct HttpListenerSettings {
  /// Port on the loopback address; 0 takes any free port.
  int port = 0;
  /// Connections served at once; each holds one thread.
  size_t connections = 960;
};

/// HTTP server on the loopback address, set up for many kept-alive
/// connections. Handlers are added to `server` before `Bind`.
class HttpListener {
 public:
  explicit HttpListener(HttpListenerSettings settings);

  /// Returns the bound port, or -1 if the port cannot be bound.
  int Bind();

  /// Serves until `Stop` is called.
  void Serve();

  void Stop();

  httplib::Server server;

 private:
  HttpListenerSettings settings;
  socket_t listening_socket = INVALID_SOCKET;
};

/// Answers with a JSON text.
void SetJsonResponse(const std::string& json,
                     int status,
                     httplib::Response* response);

}  // namespace emulator

#endif  // EMULATOR_HTTP_LISTENER_H_
