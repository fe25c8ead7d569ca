#ifndef BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_
#define BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Result of a GET. Status 0: no whole answer came.
struct HttpGetResult {
  uint32_t status = 0;
  std::string body;
};

class HttpGetConnection;

/// Sends one GET at a time on a kept connection.
class HttpGetClient {
 public:
  using Callback = std::function<void(HttpGetResult)>;

  HttpGetClient(boost::asio::io_context& loop, const Tcp::endpoint& server);
  ~HttpGetClient();

  /// A call in progress is dropped without its callback.
  void Get(absl::string_view target, absl::Duration timeout, Callback callback);
  void Abort();

 private:
  boost::asio::io_context& loop;
  const Tcp::endpoint server;
  /// Null, or connected and idle, or with the GET in progress.
  std::shared_ptr<HttpGetConnection> connection;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_HTTP_GET_CLIENT_H_
