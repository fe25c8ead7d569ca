#ifndef BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_
#define BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_

#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace boragepaddle::transport {

/// Settings of an HttpClientPool.
struct HttpClientPoolSettings {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Connections that have been idle for longer are not reused.
  absl::Duration max_idle = absl::Seconds(3);
};

/// Pool of keep-alive connections to one HTTP server. A client that is not
/// returned to the pool is closed when its owner destroys it.
class HttpClientPool {
 public:
  /// `address` is the server's `host:port`.
  HttpClientPool(absl::string_view address,
                 const HttpClientPoolSettings& settings);

  /// Returns the most recently used idle client, or a new one.
  std::unique_ptr<httplib::Client> Take();

  /// Returns a client to the pool. Its last response must be complete.
  void Keep(std::unique_ptr<httplib::Client> client);

 private:
  struct KeptClient {
    std::unique_ptr<httplib::Client> client;
    absl::Time last_used;
  };

  const std::string url;
  const HttpClientPoolSettings settings;
  absl::Mutex mutex;
  std::vector<KeptClient> kept ABSL_GUARDED_BY(mutex);
};

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_HTTP_CLIENT_POOL_H_
