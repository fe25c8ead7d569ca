#ifndef EMULATOR_PLATFORM_DOCUMENT_H_
#define EMULATOR_PLATFORM_DOCUMENT_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace emulator {

/// One document of the platform with its earlier revisions. A
/// reader may be shown an older revision, or a new one only after a lag.
class PlatformDocument {
 public:
  /// `content_key` is the key of the content in the document.
  PlatformDocument(std::string content_key, nlohmann::json content);

  /// Stores a new content; returns its revision.
  uint64_t Put(nlohmann::json content);

  /// Newest revision that readers may see now, as JSON text.
  std::string Get();

  /// Waits until the deadline for a visible revision above `after`; false if
  /// there is none.
  bool WaitForNewer(uint64_t after, absl::Time deadline);

  /// Revisions above this one are not shown; 0 shows all.
  void SetMaxVisibleRevision(uint64_t revision);

  /// New revisions are shown this long after they were stored.
  void SetLag(absl::Duration lag);

 private:
  struct Revision {
    uint64_t number = 0;
    absl::Time stored_at;
    nlohmann::json content;
  };

  const Revision& VisibleRevision() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
  std::string ToText(const Revision& revision) const;

  const std::string content_key;
  absl::Mutex mutex;
  absl::CondVar changed;
  std::deque<Revision> revisions ABSL_GUARDED_BY(mutex);
  uint64_t max_visible_revision ABSL_GUARDED_BY(mutex) = 0;
  absl::Duration lag ABSL_GUARDED_BY(mutex);
};

}  // namespace emulator

#endif  // EMULATOR_PLATFORM_DOCUMENT_H_
