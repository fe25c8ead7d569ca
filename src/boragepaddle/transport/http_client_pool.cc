#include "boragepaddle/transport/http_client_pool.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::transport {

HttpClientPool::HttpClientPool(absl::string_view address,
                               const HttpClientPoolSettings& settings)
    : address(address),
      settings(settings),
      memory(settings.max_buffered_bytes) {}

std::unique_ptr<HttpClientConnection> HttpClientPool::Take() {
  {
    absl::MutexLock lock(&this->mutex);
    const absl::Time oldest = MonotonicNow() - this->settings.max_idle;
    const auto expired = [oldest](const KeptConnection& entry) {
      return entry.last_used < oldest;
    };
    auto& list = this->kept;
    list.erase(std::remove_if(list.begin(), list.end(), expired), list.end());
    if (!list.empty()) {
      auto connection = std::move(list.back().connection);
      list.pop_back();
      return connection;
    }
  }
  return std::make_unique<HttpClientConnection>(
      this->address, this->settings.connection, this->memory);
}

void HttpClientPool::Keep(std::unique_ptr<HttpClientConnection> connection) {
  if (!connection->is_reusable()) {
    return;
  }
  absl::MutexLock lock(&this->mutex);
  this->kept.push_back({std::move(connection), MonotonicNow()});
}

}  // namespace boragepaddle::transport
