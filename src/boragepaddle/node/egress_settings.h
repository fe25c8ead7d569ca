#ifndef BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_
#define BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "boragepaddle/routing/locality.h"

namespace boragepaddle::node {

/// How calls are routed and retried. Values other than full are for comparing
/// measurements.
enum class EgressPolicy : uint8_t {
  kFull,
  /// Round robin, one attempt, no refusal by class at the sender.
  kOff,
  /// Round robin, 3 retries at each hop, without tokens or ratio.
  kPerHopRetries,
};

/// Returns the policy of the settings key `policy`; full for other values.
EgressPolicy ParseEgressPolicy(absl::string_view name);

/// Fixed properties of the calling side of a node.
struct EgressSettings {
  routing::Locality locality;
  EgressPolicy policy = EgressPolicy::kFull;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_EGRESS_SETTINGS_H_
