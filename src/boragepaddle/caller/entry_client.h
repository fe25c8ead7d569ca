#ifndef BORAGEPADDLE_CALLER_ENTRY_CLIENT_H_
#define BORAGEPADDLE_CALLER_ENTRY_CLIENT_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/caller/send_result.h"

namespace boragepaddle::caller {

/// One send of a call.
struct SendRequest {
  std::string path;
  std::string request_id;
  std::string ticket;
  absl::string_view body;
  /// Time left for the call.
  absl::Duration left;
};

/// Kept HTTP connections to one entry node.
class EntryClient {
 public:
  explicit EntryClient(absl::string_view address);
  ~EntryClient();

  /// Sends once and waits. Ends not_run if no connection could be opened, and
  /// unknown if the answer is missing, truncated or of another request.
  SendResult Send(const SendRequest& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_ENTRY_CLIENT_H_
