#ifndef BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_
#define BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::event {

/// Result of a GET. Status 0 means that no complete response was received.
struct HttpGetResult {
  uint32_t status = 0;
  std::vector<schema::HttpField> fields;
  std::string body;
};

class HttpGetConnection;

/// HTTP client that sends one GET at a time over a persistent connection.
class HttpGetClient {
 public:
  using Callback = std::function<void(HttpGetResult)>;

  HttpGetClient(boost::asio::io_context& loop, const Tcp::endpoint& server);
  ~HttpGetClient();

  /// Sends a GET. Cancels a GET in progress, whose callback is not invoked.
  void Get(absl::string_view target, absl::Duration timeout, Callback callback);
  /// Cancels the GET in progress; its callback is not invoked.
  void Abort();

 private:
  boost::asio::io_context& loop;
  const Tcp::endpoint server;
  /// Idle and connected, or running the GET in progress; may be null.
  std::shared_ptr<HttpGetConnection> connection;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_
