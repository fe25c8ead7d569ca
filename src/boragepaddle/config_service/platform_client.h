#ifndef BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_CLIENT_H_
#define BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config_service/platform_error.h"

namespace boragepaddle::config_service {

/// Address of the platform and identity of the client.
struct ClientSettings {
  /// `host:port` of the platform's service.
  std::string address;
  /// Sent with each request, so that the platform can distinguish the zones.
  std::string availability_zone;
  absl::Duration connect_timeout = absl::Seconds(1);
};

/// HTTP client with one persistent connection. Requests are made by one thread;
/// another thread may interrupt them.
class PlatformClient {
 public:
  explicit PlatformClient(const ClientSettings& settings);
  ~PlatformClient();

  /// Long-polls for a revision of the document newer than `after`. The platform
  /// responds when there is one, or after 30 s. Fails with `kTimeout` if there
  /// is no response within `wait`.
  base::Result<std::string, PlatformError> Watch(absl::string_view path,
                                                 uint64_t after,
                                                 absl::Duration wait);

  /// Aborts the request in progress, if any.
  void Interrupt();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_CLIENT_H_
