#include "boragepaddle/event/accept_probe.h"

#include <boost/asio/error.hpp>
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

/// True if the connection failed for a lack of resources of this process or
/// host, which tells nothing of the endpoint.
bool IsLocalFailure(const boost::system::error_code& error) {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system ||
         error == boost::system::errc::address_not_available ||
         error == boost::system::errc::no_buffer_space ||
         error == boost::system::errc::not_enough_memory;
}

ProbeResult ResultOf(const boost::system::error_code& error) {
  if (!error) {
    return ProbeResult::kAccepted;
  }
  return IsLocalFailure(error) ? ProbeResult::kUnknown
                               : ProbeResult::kNotAccepted;
}

}  // namespace

absl::string_view ToString(ProbeResult result) {
  switch (result) {
    case ProbeResult::kAccepted:
      return "accepted";
    case ProbeResult::kNotAccepted:
      return "not_accepted";
    case ProbeResult::kUnknown:
      return "unknown";
  }
  return "invalid";
}

void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 absl::Duration timeout,
                 std::function<void(ProbeResult)> done) {
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
        done(ResultOf(error));
      });
}

}  // namespace boragepaddle::event
