#ifndef BORAGEPADDLE_NODE_CALL_RULE_H_
#define BORAGEPADDLE_NODE_CALL_RULE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// Rule for one operation in the accepted configuration.
struct CallRule {
  schema::CallClass call_class = schema::CallClass::kStandard;
  bool idempotent = false;
  bool at_most_once = false;
  /// May be retried after an unknown outcome; the configuration check allows
  /// this only if all downstream operations are idempotent.
  bool retry_on_unknown = false;
  uint32_t retry_tokens = 0;
  /// The operation makes downstream calls, so it can use retry tokens.
  bool calls_others = true;
  absl::Duration deadline = absl::Seconds(2);
  uint32_t retry_ratio_percent = 10;
  absl::Duration queue_target = absl::Milliseconds(20);
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CALL_RULE_H_
