#ifndef BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
#define BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

enum class ProbeResult : uint8_t {
  kAccepted,
  /// The endpoint refused the connection or did not answer in time.
  kNotAccepted,
  /// This process lacked a resource for the connection, such as a descriptor.
  kUnknown,
};

/// Name in logs.
absl::string_view ToString(ProbeResult result);

/// Opens a connection to the endpoint and closes it at once. `done` is called
/// once, never from within this function.
void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 absl::Duration timeout,
                 std::function<void(ProbeResult)> done);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
