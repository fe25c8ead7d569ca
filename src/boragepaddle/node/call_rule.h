#ifndef BORAGEPADDLE_NODE_CALL_RULE_H_
#define BORAGEPADDLE_NODE_CALL_RULE_H_

#include <cstdint>

#include "absl/time/time.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::node {

/// What the accepted configuration says of one operation.
struct CallRule {
  schema::CallClass call_class = schema::CallClass::kStandard;
  bool idempotent = false;
  bool at_most_once = false;
  /// May be sent again after an unknown outcome; the check of the
  /// configuration allows this only if all operations below are idempotent.
  bool retry_on_unknown = false;
  uint32_t retry_tokens = 0;
  /// The operation makes calls of its own, so it can use retry tokens.
  bool calls_others = true;
  absl::Duration deadline = absl::Seconds(2);
  uint32_t retry_ratio_percent = 10;
  absl::Duration queue_target = absl::Milliseconds(20);
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_CALL_RULE_H_
