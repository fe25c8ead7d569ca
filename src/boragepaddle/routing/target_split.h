#ifndef BORAGEPADDLE_ROUTING_TARGET_SPLIT_H_
#define BORAGEPADDLE_ROUTING_TARGET_SPLIT_H_

#include <cstddef>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/catalog/route.h"

namespace boragepaddle::routing {

/// Smooth weighted round robin over the targets of one route.
struct TargetSplit {
  /// What each target is owed, in requests times the sum of the weights.
  std::vector<double> owed;
};

/// Index of the target of the next request. The state starts anew when the
/// number of targets changes.
size_t NextTarget(TargetSplit& split,
                  absl::Span<const catalog::RouteTarget> targets);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_TARGET_SPLIT_H_
