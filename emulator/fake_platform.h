#ifndef EMULATOR_FAKE_PLATFORM_H_
#define EMULATOR_FAKE_PLATFORM_H_

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "emulator/platform_document.h"

namespace emulator {

/// Stand-in for the platform's configuration service and VM list.
class FakePlatform {
 public:
  FakePlatform();

  /// Adds the handlers of all paths.
  void AddHandlers(httplib::Server* server);

 private:
  void AddDocument(const std::string& path,
                   const std::string& content_key,
                   PlatformDocument* document,
                   httplib::Server* server);
  void OnWatch(const httplib::Request& request,
               PlatformDocument* document,
               httplib::Response* response);
  void OnPut(const httplib::Request& request,
             const std::string& content_key,
             PlatformDocument* document,
             httplib::Response* response);
  void OnControl(const httplib::Request& request, httplib::Response* response);
  void ApplyControl(const nlohmann::json& json);
  void OnStats(httplib::Response* response);
  bool IsUnavailableFor(const httplib::Request& request);

  PlatformDocument config;
  PlatformDocument vms;
  absl::Mutex mutex;
  bool down ABSL_GUARDED_BY(mutex) = false;
  std::set<std::string> down_zones ABSL_GUARDED_BY(mutex);
  std::atomic<uint64_t> reads{0};
  std::atomic<uint64_t> refused{0};
  std::atomic<uint64_t> watches{0};
  std::atomic<int64_t> waiting_watches{0};
  std::atomic<int64_t> peak_waiting_watches{0};
};

}  // namespace emulator

#endif  // EMULATOR_FAKE_PLATFORM_H_
