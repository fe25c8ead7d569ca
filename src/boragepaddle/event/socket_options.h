#ifndef BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
#define BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/optional/optional.hpp>
#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::event {

using Tcp = boost::asio::ip::tcp;

/// Sets TCP_NODELAY and keep-alive probes, so that a peer that vanishes from an
/// idle connection is detected within about three seconds. For clients and
/// workers, which may read as slowly as they want to.
void SetTcpLivenessOptions(Tcp::socket& socket);

/// Also sets TCP_USER_TIMEOUT. For other nodes and the store, which always
/// read: a peer that accepts no data for about three seconds is taken to be
/// gone.
void SetTcpPeerOptions(Tcp::socket& socket);

/// Parses `IP:PORT`; empty if malformed.
boost::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address);

/// Result of PeekSocket: unread data, closed or failed, or no data yet.
enum class SocketState { kData, kClosed, kNoData };

/// Reports the state of the receive buffer without consuming data.
SocketState PeekSocket(Tcp::socket& socket);

/// True if the peer has closed its sending side or reset the connection, also
/// if data that it sent before has not been read.
bool HasPeerClosed(Tcp::socket& socket);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
