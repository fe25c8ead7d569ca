#ifndef BORAGEPADDLE_CONFIG_SERVICE_WATCH_THREAD_H_
#define BORAGEPADDLE_CONFIG_SERVICE_WATCH_THREAD_H_

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config_service/platform_client.h"
#include "boragepaddle/config_service/platform_error.h"

namespace boragepaddle::config_service {

/// Number of requests and failures since construction.
struct WatchCounters {
  uint64_t requests = 0;
  uint64_t failures = 0;
  PlatformErrorCode last_failure = PlatformErrorCode::kUnreachable;
};

/// Watches one document of the platform on a dedicated thread.
class WatchThread {
 public:
  /// Handles a response body. Returns its revision, or why it is invalid.
  using ResponseHandler = std::function<base::Result<uint64_t, PlatformError>(
      absl::string_view body)>;
  using RandomSource = std::function<uint64_t()>;

  /// `path` is the URL path of the document, such as `/v1/config`.
  WatchThread(const ClientSettings& settings,
              std::string path,
              ResponseHandler handler,
              RandomSource random);
  ~WatchThread();

  /// Starts watching, reopening the watch after each response, or stops.
  void SetEnabled(bool enabled);

  /// Requests the document once, without waiting for a change.
  void ReadOnce();

  /// Records that this version is known; later requests ask for newer ones.
  void NoteHeld(uint64_t version);

  WatchCounters counters() const;

 private:
  struct Request {
    uint64_t after = 0;
    absl::Duration wait;
    bool read_once = false;
  };

  void Run();
  bool NextRequest(Request* request);
  void Perform(const Request& request);
  /// False if watching was disabled during the request, in which case an
  /// interrupted watch is not a failure.
  bool IsStillWanted(const Request& request) const;
  void NoteFailure(const PlatformError& error);
  void Pause(absl::Duration duration);

  PlatformClient client;
  const std::string path;
  const ResponseHandler handler;
  const RandomSource random;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool ended ABSL_GUARDED_BY(mutex) = false;
  bool enabled ABSL_GUARDED_BY(mutex) = false;
  bool read_once ABSL_GUARDED_BY(mutex) = false;
  uint64_t newest_version ABSL_GUARDED_BY(mutex) = 0;
  uint32_t failures_in_a_row ABSL_GUARDED_BY(mutex) = 0;
  WatchCounters counts ABSL_GUARDED_BY(mutex);
  std::thread thread;
};

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_WATCH_THREAD_H_
