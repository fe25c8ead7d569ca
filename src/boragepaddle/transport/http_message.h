#ifndef BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace boragepaddle::transport {

/// One header line.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// A request as the listener hands it over.
struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  /// Returns a header's value, or an empty string.
  std::function<std::string(absl::string_view name)> header;
  /// True while the client keeps its side of the connection open.
  std::function<bool()> connected;
};

/// The answer to a request.
struct HttpReply {
  uint32_t status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpHeader> headers;
  /// Close the connection after the answer.
  bool close_connection = false;
};

using HttpHandler = std::function<HttpReply(const HttpCall&)>;

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_MESSAGE_H_
