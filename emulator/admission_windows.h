#ifndef EMULATOR_ADMISSION_WINDOWS_H_
#define EMULATOR_ADMISSION_WINDOWS_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace emulator {

/// Counts started executions per call class in 100 ms windows of Unix time, for
/// comparison with the requests refused in the same window.
class AdmissionWindows {
 public:
  void OnStarted(absl::string_view call_class, absl::Time now);

  /// {window: {class: count}}
  std::string ToJson() const;

  void Clear();

 private:
  mutable absl::Mutex mutex;
  std::map<int64_t, std::map<std::string, uint64_t>> windows
      ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_ADMISSION_WINDOWS_H_
