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

/// Limits of the kept connections to one server.
struct HttpClientPoolSettings {
  absl::Duration connect_timeout = absl::Seconds(1);
  /// A connection that has been idle for longer is not used again.
  absl::Duration max_idle = absl::Seconds(3);
};

/// Kept connections to one HTTP server. A client that is not given back is
/// closed by its owner.
class HttpClientPool {
 public:
  /// `address` is the server's `host:port`.
  HttpClientPool(absl::string_view address,
                 const HttpClientPoolSettings& settings);

  /// Returns the client that was used last, or a new one.
  std::unique_ptr<httplib::Client> Take();

  /// Gives back a client whose last answer was whole.
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
