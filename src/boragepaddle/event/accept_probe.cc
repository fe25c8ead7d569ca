#include "boragepaddle/event/accept_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace boragepaddle::event {

namespace {

/// True if the connection failed for a lack of resources of this process or
/// host, which tells nothing of the endpoint.
bool IsLocalFailure(const boost::system::error_code& error) {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::system::errc::address_not_available ||
         error == boost::system::errc::no_buffer_space ||
         error == boost::system::errc::not_enough_memory;
}

ProbeResult ResultOfFailure(const boost::system::error_code& error) {
  return IsLocalFailure(error) ? ProbeResult::kUnknown
                               : ProbeResult::kNotAccepted;
}

class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(boost::asio::io_context& loop, std::function<void(ProbeResult)> done)
      : socket(loop), timer(loop), done(std::move(done)) {}

  void Run(const Tcp::endpoint& endpoint, const ProbeSettings& settings) {
    this->EndAfter(settings.connect_timeout);
    this->socket.async_connect(endpoint,
                               [self = this->shared_from_this(),
                                hold = settings.hold_time](const auto& error) {
                                 self->timer.cancel();
                                 if (error) {
                                   self->done(ResultOfFailure(error));
                                   return;
                                 }
                                 self->Hold(hold);
                               });
  }

 private:
  /// Ends the pending operation on the socket with an error.
  void EndAfter(absl::Duration time) {
    this->timer.expires_after(absl::ToChronoNanoseconds(time));
    this->timer.async_wait(
        [self = this->shared_from_this()](const auto& cancelled) {
          if (!cancelled) {
            boost::system::error_code ignored;
            self->socket.close(ignored);
          }
        });
  }

  void Hold(absl::Duration time) {
    this->EndAfter(time);
    this->socket.async_wait(
        Tcp::socket::wait_read,
        [self = this->shared_from_this()](const auto& error) {
          self->timer.cancel();
          const bool is_closed =
              !error && PeekSocket(self->socket) == SocketState::kClosed;
          self->done(is_closed ? ProbeResult::kClosed : ProbeResult::kAccepted);
        });
  }

  Tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(ProbeResult)> done;
};

}  // namespace

void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 const ProbeSettings& settings,
                 std::function<void(ProbeResult)> done) {
  std::make_shared<Probe>(loop, std::move(done))->Run(endpoint, settings);
}

}  // namespace boragepaddle::event
