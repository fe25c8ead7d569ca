#ifndef BORAGEPADDLE_CALLER_CALLER_H_
#define BORAGEPADDLE_CALLER_CALLER_H_

#include <memory>
#include <vector>

#include "absl/strings/string_view.h"
#include "boragepaddle/caller/call_result.h"
#include "boragepaddle/caller/caller_settings.h"
#include "boragepaddle/caller/entry_client.h"

namespace boragepaddle::caller {

/// Calls operations through the nodes of a fleet. Safe to use from several
/// threads.
///
/// Gets the ticket that an at-most-once operation needs and resends with the
/// same ticket through other entry nodes. A call that ended unknown without a
/// ticket is never sent again.
class Caller {
 public:
  explicit Caller(const CallerSettings& settings);

  /// Makes the call and waits for its end, at most for the deadline and a
  /// short margin.
  CallResult Call(absl::string_view service,
                  absl::string_view operation,
                  absl::string_view body);

 private:
  const CallerSettings settings;
  std::vector<std::unique_ptr<EntryClient>> entries;
};

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_CALLER_H_
