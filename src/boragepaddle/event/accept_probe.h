#ifndef BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
#define BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

struct ProbeSettings {
  /// Time in which the connection must be established.
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Time for which the established connection must stay open.
  absl::Duration hold_time = absl::Milliseconds(100);
};

enum class ProbeResult : uint8_t {
  kAccepted,
  /// The endpoint accepted the connection and closed it without a request.
  kClosed,
  /// The endpoint refused the connection or did not answer in time.
  kNotAccepted,
  /// This process lacked a resource for the connection, such as a descriptor.
  kUnknown,
};

/// Opens a connection to the endpoint and closes it after the hold time. `done`
/// is called once, never from within this function.
void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 const ProbeSettings& settings,
                 std::function<void(ProbeResult)> done);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
