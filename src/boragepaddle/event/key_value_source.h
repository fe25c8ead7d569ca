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
  /// No connection, no answer within the timeout, or a truncated answer.
  kUnreachable,
  /// The source answered with an error status.
  kRefused,
  /// The source no longer retains the changes after the given revision.
  kCompacted,
  /// The answer could not be parsed.
  kMalformed,
  /// The answer belongs to an older era of the store than a former one, or
  /// names none.
  kOlderEra,
};

struct SourceError {
  SourceErrorCode code = SourceErrorCode::kUnreachable;
  uint32_t status = 0;
  /// Era that the answer named; 0 if it named none.
  uint64_t era = 0;
};

absl::string_view ToString(SourceErrorCode code);

/// One page of items and the store revision at which it was read. `more` is
/// true if further pages follow.
struct SourcePage {
  std::vector<schema::KeyValue> items;
  uint64_t as_of = 0;
  bool more = false;
  /// Rises each time the store comes back from an older copy. Counted from 1; 0
  /// if the response names none.
  uint64_t era = 0;
};

/// Consistency of a listing.
enum class ReadMode : uint8_t {
  kNewest,
  /// May be seconds out of date; cheap for the source.
  kMaybeStale,
};

/// Asynchronous client of a revisioned key-value store. Each object has at most
/// one call in progress. Callbacks are never invoked from within List or Watch.
class KeyValueSource {
 public:
  using Callback = std::function<void(base::Result<SourcePage, SourceError>)>;

  virtual ~KeyValueSource() = default;

  /// Lists items whose key has the prefix and sorts after `after_key`.
  virtual void List(absl::string_view prefix,
                    absl::string_view after_key,
                    ReadMode mode,
                    Callback callback) = 0;

  /// Returns the changes after the revision as soon as there are any, or an
  /// empty page once `wait` has passed. Fails if there is no answer
  /// `response_margin` after that.
  virtual void Watch(absl::string_view prefix,
                     uint64_t after_revision,
                     absl::Duration wait,
                     absl::Duration response_margin,
                     Callback callback) = 0;

  /// Cancels the call in progress; its callback is not invoked.
  virtual void Abort() = 0;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_KEY_VALUE_SOURCE_H_
