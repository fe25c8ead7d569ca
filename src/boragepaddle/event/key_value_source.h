#ifndef BORAGEPADDLE_EVENT_KEY_VALUE_SOURCE_H_
#define BORAGEPADDLE_EVENT_KEY_VALUE_SOURCE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::event {

/// Why a read of the source failed.
enum class SourceErrorCode : uint8_t {
  /// No connection, no answer in time, or an answer that was cut off.
  kUnreachable,
  /// The source answered that it is busy or down.
  kRefused,
  /// The changes after the given revision are no longer kept.
  kCompacted,
  /// The answer could not be read.
  kMalformed,
};

struct SourceError {
  SourceErrorCode code = SourceErrorCode::kUnreachable;
  uint32_t status = 0;
};

absl::string_view ToString(SourceErrorCode code);

/// Items as of a revision. `more` is true if further pages follow.
struct SourcePage {
  std::vector<schema::KeyValue> items;
  uint64_t as_of = 0;
  bool more = false;
};

/// How new a list has to be.
enum class ReadMode : uint8_t {
  kNewest,
  /// May be seconds old, and costs the source little.
  kMaybeStale,
};

/// A revisioned key-value store that is read and watched. At most one read of
/// each object is in progress; the callback is never called from within the
/// call.
class KeyValueSource {
 public:
  using Callback = std::function<void(base::Result<SourcePage, SourceError>)>;

  virtual ~KeyValueSource() = default;

  /// Items whose key begins with the prefix and comes after `after_key`.
  virtual void List(absl::string_view prefix,
                    absl::string_view after_key,
                    ReadMode mode,
                    Callback callback) = 0;

  /// Changes after the revision, as soon as there are any or when the wait is
  /// over.
  virtual void Watch(absl::string_view prefix,
                     uint64_t after_revision,
                     absl::Duration wait,
                     Callback callback) = 0;

  /// Drops a read in progress, whose callback is then not called.
  virtual void Abort() = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_KEY_VALUE_SOURCE_H_
