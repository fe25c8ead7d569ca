#include "emulator/client_pool.h"

#include <utility>

namespace emulator {

httplib::Result ClientPool::Post(const std::string& address,
                                 const std::string& path,
                                 const httplib::Headers& headers,
                                 const std::string& body,
                                 absl::Duration timeout) {
  std::unique_ptr<httplib::Client> client = this->Take(address);
  const int64_t microseconds = absl::ToInt64Microseconds(timeout);
  client->set_read_timeout(microseconds / 1'000'000, microseconds % 1'000'000);
  client->set_connection_timeout(microseconds / 1'000'000,
                                 microseconds % 1'000'000);
  httplib::Result result =
      client->Post(path, headers, body, "application/json");
  if (result && headers.find("Connection") == headers.end()) {
    this->Return(address, std::move(client));
  }
  return result;
}

uint64_t ClientPool::Opened() const {
  return this->opened.load();
}

std::unique_ptr<httplib::Client> ClientPool::Take(const std::string& address) {
  {
    absl::MutexLock lock(&this->mutex);
    auto& clients = this->idle[address];
    if (!clients.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  ++this->opened;
  auto client = std::make_unique<httplib::Client>("http://" + address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

void ClientPool::Return(const std::string& address,
                        std::unique_ptr<httplib::Client> client) {
  absl::MutexLock lock(&this->mutex);
  this->idle[address].push_back(std::move(client));
}

}  // namespace emulator
