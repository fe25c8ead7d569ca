#ifndef BORAGEPADDLE_DAEMON_REQUEST_CONTEXTS_H_
#define BORAGEPADDLE_DAEMON_REQUEST_CONTEXTS_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/base/sharded.h"
#include "boragepaddle/retry/retry_tokens.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::daemon {

/// What a running request passes on to its child calls.
struct RequestContext {
  std::string request_id;
  schema::CallClass call_class = schema::CallClass::kBulk;
  absl::Time deadline;
  /// Depth of its child calls in the chain.
  uint32_t child_depth = 1;
  retry::RetryTokens tokens;
  /// A child call was refused because of overload.
  bool refused_below = false;
};

/// Contexts of the requests that the local worker runs, by context id.
class RequestContexts {
 public:
  void Open(const std::string& id, RequestContext context);

  /// True if a child call of the open context was refused because of overload.
  bool IsRefusedBelow(const std::string& id);

  /// Ends a context and returns the unspent tokens.
  uint32_t Close(const std::string& id);

  /// Takes tokens for a child call. Empty if the context is not open.
  absl::optional<RequestContext> BeginChild(const std::string& id);

  /// Gives back the unspent tokens of a child call. `refused` tells that it
  /// was refused because of overload, here or further down.
  void EndChild(const std::string& id,
                uint32_t delegated,
                uint32_t unspent,
                bool refused);

 private:
  using Table = absl::flat_hash_map<std::string, RequestContext>;

  base::Sharded<Table> tables;
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_REQUEST_CONTEXTS_H_
