#ifndef EMULATOR_CLIENT_POOL_H_
#define EMULATOR_CLIENT_POOL_H_

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace emulator {

/// Kept-alive HTTP clients by address. A client whose request failed is
/// dropped, since a late answer could follow on its connection, and so is one
/// whose request had a Connection header.
class ClientPool {
 public:
  httplib::Result Post(const std::string& address,
                       const std::string& path,
                       const httplib::Headers& headers,
                       const std::string& body,
                       absl::Duration timeout);

  /// Clients created so far, each with at least one connection.
  uint64_t CreatedCount() const;

 private:
  std::unique_ptr<httplib::Client> AcquireClient(const std::string& address);
  void ReleaseClient(const std::string& address,
                     std::unique_ptr<httplib::Client> client);

  std::atomic<uint64_t> created_count{0};
  absl::Mutex mutex;
  absl::flat_hash_map<std::string,
                      std::vector<std::unique_ptr<httplib::Client>>>
      idle_clients ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_CLIENT_POOL_H_
