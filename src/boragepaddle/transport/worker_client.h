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

/// HTTP client of the local worker with keep-alive connections. A connection
/// on which no complete response was received is closed and not reused.
class WorkerClient {
 public:
  /// `address` is the worker's `host:port`.
  explicit WorkerClient(absl::string_view address);
  ~WorkerClient();

  /// Sends a POST request and blocks until it ends. Never retries.
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
