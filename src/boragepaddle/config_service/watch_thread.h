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

/// Requests and failures since the start.
struct WatchCounters {
  uint64_t requests = 0;
  uint64_t failures = 0;
  PlatformErrorCode last_failure = PlatformErrorCode::kUnreachable;
};

/// Keeps a watch on one document open on a thread of its own.
class WatchThread {
 public:
  /// Takes an answer; returns its revision or why it cannot be used.
  using ResponseHandler = std::function<base::Result<uint64_t, PlatformError>(
      absl::string_view body)>;
  using RandomSource = std::function<uint64_t()>;

  /// `path` is that of the document, such as `/v1/config`.
  WatchThread(const ClientSettings& settings,
              std::string path,
              ResponseHandler handler,
              RandomSource random);
  ~WatchThread();

  /// Opens the watch again after each answer, or ends it.
  void SetEnabled(bool enabled);

  /// Asks once, without waiting for a change.
  void ReadOnce();

  /// Later requests ask for something newer than this version.
  void NoteHeld(uint64_t version);

  WatchCounters counters() const;

 private:
  struct Request {
    uint64_t after = 0;
    absl::Duration wait;
    bool once = false;
  };

  void Run();
  bool NextRequest(Request* request);
  void Perform(const Request& request);
  /// False if the watch was ended meanwhile, so that its end is no failure.
  bool Wants(const Request& request) const;
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
  bool once ABSL_GUARDED_BY(mutex) = false;
  uint64_t newest ABSL_GUARDED_BY(mutex) = 0;
  uint32_t failures_in_a_row ABSL_GUARDED_BY(mutex) = 0;
  WatchCounters counts ABSL_GUARDED_BY(mutex);
  std::thread thread;
};

}  // namespace boragepaddle::config_service

#endif  // BORAGEPADDLE_CONFIG_SERVICE_WATCH_THREAD_H_
