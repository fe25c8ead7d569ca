#include "boragepaddle/event/accept_loop.h"

#include <chrono>
#include <utility>

#include "boragepaddle/event/open_listener.h"

namespace boragepaddle::event {

namespace {

/// Pause after a failure. Descriptors are freed by requests that end.
constexpr std::chrono::milliseconds kPause(20);

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
    // The connection stays in the listener's queue, so an attempt at once
    // would fail again and keep the processor busy.
    ++this->failed;
    this->timer.expires_after(kPause);
    this->timer.async_wait([this](const boost::system::error_code& cancelled) {
      if (!cancelled && !this->closed) {
        this->Accept();
      }
    });
  });
}

}  // namespace boragepaddle::event
