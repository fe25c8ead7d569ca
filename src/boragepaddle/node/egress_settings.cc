#include "boragepaddle/node/egress_settings.h"

namespace boragepaddle::node {

EgressPolicy ParseEgressPolicy(absl::string_view name) {
  if (name == "off") {
    return EgressPolicy::kOff;
  }
  return name == "per_hop_retries" ? EgressPolicy::kPerHopRetries
                                   : EgressPolicy::kFull;
}

}  // namespace boragepaddle::node
