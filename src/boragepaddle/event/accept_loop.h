#ifndef BORAGEPADDLE_EVENT_ACCEPT_LOOP_H_
#define BORAGEPADDLE_EVENT_ACCEPT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Listener that passes each accepted connection to the handler. After a
/// failure, such as running out of file descriptors, it retries after a pause.
class AcceptLoop {
 public:
  using Handler = std::function<void(Tcp::socket)>;

  AcceptLoop(boost::asio::io_context& loop, Handler handler);

  /// Binds to the endpoint and starts to accept connections.
  boost::system::error_code Listen(const Tcp::endpoint& endpoint, int backlog);
  void Close();

  Tcp::endpoint endpoint() const { return this->acceptor.local_endpoint(); }
  uint64_t failures() const { return this->failed; }

 private:
  void Accept();

  Handler handler;
  Tcp::acceptor acceptor;
  boost::asio::steady_timer timer;
  bool closed = false;
  uint64_t failed = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_ACCEPT_LOOP_H_
