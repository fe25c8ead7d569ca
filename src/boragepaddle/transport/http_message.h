#ifndef BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace boragepaddle::transport {

/// One header field.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request, as passed to an HttpHandler.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  /// Returns the value of a header field; empty if there is none.
  std::function<std::string(absl::string_view name)> header;
  /// Returns true while the client has not closed its side of the connection.
  std::function<bool()> connected;
};

/// The response to a request.
struct HttpReply {
  uint32_t status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpHeader> headers;
  /// Closes the connection after the response.
  bool close_connection = false;
};

using HttpHandler = std::function<HttpReply(const HttpCall&)>;

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_
