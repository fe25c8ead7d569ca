#ifndef BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boragepaddle/transport/http_client_connection.h"

namespace boragepaddle::transport {

/// Settings of an HttpClientPool.
struct HttpClientPoolSettings {
  HttpClientSettings connection;
  /// Limit on the bytes of incomplete responses over all connections.
  uint64_t max_buffered_bytes = 64u << 20;
  /// Connections that have been idle for longer are not reused.
  absl::Duration max_idle = absl::Seconds(3);
};

/// Pool of keep-alive connections to one HTTP server. A connection that is not
/// returned to the pool is closed when its owner destroys it. The pool must
/// outlive its connections.
class HttpClientPool {
 public:
  /// `address` is the server's `host:port`.
  HttpClientPool(absl::string_view address,
                 const HttpClientPoolSettings& settings);

  /// Returns the most recently used idle connection, or a new one.
  std::unique_ptr<HttpClientConnection> Take();

  /// Returns a connection to the pool, which closes it unless it is reusable.
  void Keep(std::unique_ptr<HttpClientConnection> connection);

 private:
  struct KeptConnection {
    std::unique_ptr<HttpClientConnection> connection;
    absl::Time last_used;
  };

  const std::string address;
  const HttpClientPoolSettings settings;
  ResponseMemory memory;
  absl::Mutex mutex;
  std::vector<KeptConnection> kept ABSL_GUARDED_BY(mutex);
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_
