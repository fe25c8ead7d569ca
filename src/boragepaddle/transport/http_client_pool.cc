#include "boragepaddle/transport/http_client_pool.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/transport/clock.h"

namespace boragepaddle::transport {

HttpClientPool::HttpClientPool(absl::string_view address,
                               const HttpClientPoolSettings& settings)
    : url(absl::StrCat("http://", address)), settings(settings) {}

std::unique_ptr<httplib::Client> HttpClientPool::Take() {
  {
    absl::MutexLock lock(&this->mutex);
    const absl::Time oldest = MonotonicNow() - this->settings.max_idle;
    const auto expired = [oldest](const KeptClient& entry) {
      return entry.last_used < oldest;
    };
    auto& list = this->kept;
    list.erase(std::remove_if(list.begin(), list.end(), expired), list.end());
    if (!list.empty()) {
      auto client = std::move(list.back().client);
      list.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(this->url);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(
      absl::ToChronoMicroseconds(this->settings.connect_timeout));
  return client;
}

void HttpClientPool::Keep(std::unique_ptr<httplib::Client> client) {
  absl::MutexLock lock(&this->mutex);
  this->kept.push_back({std::move(client), MonotonicNow()});
}

}  // namespace boragepaddle::transport
