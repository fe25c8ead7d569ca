#ifndef BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_
#define BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "boragepaddle/routing/locality.h"

namespace boragepaddle::node {

/// How calls are routed and retried. Values other than kFull are baselines for
/// comparisons.
enum class EgressPolicy : uint8_t {
  kFull,
  /// Round robin, one attempt, no throttling by class.
  kOff,
  /// Round robin, 3 retries at each hop, no retry tokens and no retry ratio.
  kPerHopRetries,
};

/// Returns the policy for a value of the settings key `policy`; kFull for
/// unknown values.
EgressPolicy ParseEgressPolicy(absl::string_view name);

/// Settings of the calling side of a node.
struct EgressSettings {
  routing::Locality locality;
  EgressPolicy policy = EgressPolicy::kFull;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_
