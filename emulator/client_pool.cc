#include "emulator/client_pool.h"

#include <utility>

namespace emulator {

httplib::Result ClientPool::Post(const std::string& address,
                                 const std::string& path,
                                 const httplib::Headers& headers,
                                 const std::string& body,
                                 absl::Duration timeout) {
  std::unique_ptr<httplib::Client> client = this->AcquireClient(address);
  const int64_t microseconds = absl::ToInt64Microseconds(timeout);
  client->set_read_timeout(microseconds / 1'000'000, microseconds % 1'000'000);
  client->set_connection_timeout(microseconds / 1'000'000,
                                 microseconds % 1'000'000);
  httplib::Result result =
      client->Post(path, headers, body, "application/json");
  if (result && headers.find("Connection") == headers.end()) {
    this->ReleaseClient(address, std::move(client));
  }
  return result;
}

uint64_t ClientPool::CreatedCount() const {
  return this->created_count.load();
}

std::unique_ptr<httplib::Client> ClientPool::AcquireClient(
    const std::string& address) {
  {
    absl::MutexLock lock(&this->mutex);
    auto& clients = this->idle_clients[address];
    if (!clients.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  ++this->created_count;
  auto client = std::make_unique<httplib::Client>("http://" + address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void ClientPool::ReleaseClient(const std::string& address,
                               std::unique_ptr<httplib::Client> client) {
  absl::MutexLock lock(&this->mutex);
  this->idle_clients[address].push_back(std::move(client));
}

}  // namespace emulator
