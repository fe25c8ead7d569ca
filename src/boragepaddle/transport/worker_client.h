#ifndef BORAGEPADDLE_TRANSPORT_WORKER_CLIENT_H_
#define BORAGEPADDLE_TRANSPORT_WORKER_CLIENT_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/node/worker_answer.h"
#include "boragepaddle/transport/http_message.h"

namespace boragepaddle::transport {

/// HTTP client of the local worker with kept connections. A connection on
/// which an answer was abandoned is closed and never reused.
class WorkerClient {
 public:
  /// `address` is the worker's `host:port`.
  explicit WorkerClient(absl::string_view address);
  ~WorkerClient();

  /// Posts and waits. Never sends a call twice.
  node::WorkerAnswer Post(absl::string_view path,
                          absl::Span<const HttpHeader> headers,
                          absl::string_view body,
                          absl::Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_WORKER_CLIENT_H_
