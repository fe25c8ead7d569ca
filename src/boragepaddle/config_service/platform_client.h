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

/// Where the platform is and who asks.
struct ClientSettings {
  /// `host:port` of the platform's service.
  std::string address;
  /// Sent with each request, so that the platform can tell zones apart.
  std::string availability_zone;
  absl::Duration connect_timeout = absl::Seconds(1);
};

/// HTTP client with one kept connection. One thread makes requests; another may
/// interrupt it.
class PlatformClient {
 public:
  explicit PlatformClient(const ClientSettings& settings);
  ~PlatformClient();

  /// Asks for a document newer than `after`. The platform answers when there is
  /// one, or after 30 s. No answer within `wait` is a timeout.
  base::Result<std::string, PlatformError> Watch(absl::string_view path,
                                                 uint64_t after,
                                                 absl::Duration wait);

  /// Ends the request that is waiting, if any.
  void Interrupt();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_PLATFORM_CLIENT_H_
