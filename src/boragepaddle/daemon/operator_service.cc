#include "boragepaddle/daemon/operator_service.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::daemon {

void OperatorService::Add(const std::string& method_and_path,
                          transport::HttpHandler handler) {
  this->handlers[method_and_path] = std::move(handler);
}

transport::HttpReply OperatorService::Serve(
    const transport::HttpCall& http) const {
  const auto found =
      this->handlers.find(absl::StrCat(http.method, " ", http.path));
  if (found == this->handlers.end()) {
    transport::HttpReply reply;
    reply.status = 404;
    reply.body = R"({"error":"unknown path"})";
    return reply;
  }
  return found->second(http);
}

}  // namespace boragepaddle::daemon
