#include "boragepaddle/event/accept_loop.h"

#include <chrono>
#include <utility>

#include "boragepaddle/event/open_listener.h"

namespace boragepaddle::event {

namespace {

/// Pause after a failure, in which ending requests free file descriptors.
constexpr std::chrono::milliseconds kRetryDelay(20);

}  // namespace

AcceptLoop::AcceptLoop(boost::asio::io_context& loop, Handler handler)
    : handler(std::move(handler)), acceptor(loop), timer(loop) {}

boost::system::error_code AcceptLoop::Listen(const Tcp::endpoint& endpoint,
                                             int backlog) {
  const auto error = OpenListener(this->acceptor, endpoint, backlog);
  if (!error) {
    this->Accept();
  }
  return error;
}

void AcceptLoop::Close() {
  this->closed = true;
  this->timer.cancel();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void AcceptLoop::Accept() {
  this->acceptor.async_accept([this](const boost::system::error_code& error,
                                     Tcp::socket socket) {
    if (this->closed) {
      return;
    }
    if (!error) {
      this->Accept();
      this->handler(std::move(socket));
      return;
    }
    // The connection stays in the accept queue, so an immediate retry would
    // fail again and busy-loop.
    ++this->failed;
    this->timer.expires_after(kRetryDelay);
    this->timer.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled && !this->closed) {
        this->Accept();
      }
    });
  });
}

}  // namespace boragepaddle::event
