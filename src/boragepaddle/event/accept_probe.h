#ifndef BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
#define BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "absl/time/time.h"
#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Opens a connection to the endpoint and closes it at once. `done` gets
/// whether the connection was accepted within the timeout; it is called once,
/// never from within this function.
void ProbeAccept(boost::asio::io_context& loop,
                 const Tcp::endpoint& endpoint,
                 absl::Duration timeout,
                 std::function<void(bool)> done);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_ACCEPT_PROBE_H_
