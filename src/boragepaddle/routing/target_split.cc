#include "boragepaddle/routing/target_split.h"

namespace boragepaddle::routing {

size_t NextTarget(TargetSplit& split,
                  absl::Span<const catalog::RouteTarget> targets) {
  if (targets.size() <= 1) {
    return 0;
  }
  if (split.owed.size() != targets.size()) {
    split.owed.assign(targets.size(), 0);
  }
  double total = 0;
  size_t best = 0;
  for (size_t index = 0; index < targets.size(); ++index) {
    total += targets[index].weight;
    split.owed[index] += targets[index].weight;
    if (split.owed[index] > split.owed[best]) {
      best = index;
    }
  }
  split.owed[best] -= total;
  return best;
}

}  // namespace boragepaddle::routing
