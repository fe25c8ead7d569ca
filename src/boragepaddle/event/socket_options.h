#ifndef BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
#define BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/optional/optional.hpp>
#include <string>

#include "absl/strings/string_view.h"

namespace boragepaddle::event {

using Tcp = boost::asio::ip::tcp;

/// Sets no-delay, keep-alive probes and the user timeout, so that a silent
/// peer is noticed within about three seconds.
void SetTcpLivenessOptions(Tcp::socket& socket);

/// Parses `IP:PORT`; empty if malformed.
boost::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address);

/// What one look at a readable socket showed.
enum class SocketState { kData, kClosed, kNoData };

/// Looks without taking bytes out.
SocketState PeekSocket(Tcp::socket& socket);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_SOCKET_OPTIONS_H_
