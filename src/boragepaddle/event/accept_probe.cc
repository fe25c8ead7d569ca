#include "boragepaddle/event/accept_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace boragepaddle::event {

namespace {

struct Probe {
  explicit Probe(boost::asio::io_context& loop) : socket(loop), timer(loop) {}

  Tcp::socket socket;
  boost::asio::steady_timer timer;
};

}  // namespace

void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 absl::Duration timeout,
                 std::function<void(bool)> done) {
  auto probe = std::make_shared<Probe>(loop);
  probe->timer.expires_after(absl::ToChronoNanoseconds(timeout));
  probe->timer.async_wait([probe](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      // Ends the connect with an error.
      boost::system::error_code ignored;
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
      endpoint,
      [probe, done = std::move(done)](const boost::system::error_code& error) {
        probe->timer.cancel();
        done(!error);
      });
}

}  // namespace boragepaddle::event
