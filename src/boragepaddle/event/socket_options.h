#ifndef BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
#define BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/optional/optional.hpp>
#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::event {

using Tcp = boost::asio::ip::tcp;

/// Sets TCP_NODELAY, keep-alive probes and TCP_USER_TIMEOUT, so that an
/// unresponsive peer is detected within about three seconds.
void SetTcpLivenessOptions(Tcp::socket& socket);

/// Parses `IP:PORT`; empty if malformed.
boost::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address);

/// Result of PeekSocket: unread data, closed or failed, or no data yet.
enum class SocketState { kData, kClosed, kNoData };

/// Reports the state of the receive buffer without consuming data.
SocketState PeekSocket(Tcp::socket& socket);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
