#ifndef BORAGEPADDLE_EVENT_OPEN_LISTENER_H_
#define BORAGEPADDLE_EVENT_OPEN_LISTENER_H_

#include "boragepaddle/event/socket_options.h"

namespace boragepaddle::event {

/// Opens and binds the acceptor and listens. `backlog` is the largest number of
/// connections that may wait to be accepted.
boost::system::error_code OpenListener(Tcp::acceptor& acceptor,
                                       const Tcp::endpoint& endpoint,
                                       int backlog);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_OPEN_LISTENER_H_
