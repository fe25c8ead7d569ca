#ifndef BORAGEPADDLE_DAEMON_OPERATOR_SERVICE_H_
#define BORAGEPADDLE_DAEMON_OPERATOR_SERVICE_H_

#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "boragepaddle/transport/http_message.h"

namespace boragepaddle::daemon {

/// Routes requests on the operator port to the handlers of the components.
class OperatorService {
 public:
  /// Adds a handler for a method and path, such as `GET /status`.
  void Add(const std::string& method_and_path, transport::HttpHandler handler);

  transport::HttpReply Serve(const transport::HttpCall& http) const;

 private:
  absl::flat_hash_map<std::string, transport::HttpHandler> handlers;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_OPERATOR_SERVICE_H_
