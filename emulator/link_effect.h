#ifndef EMULATOR_LINK_EFFECT_H_
#define EMULATOR_LINK_EFFECT_H_

#include <cstdint>

#include "absl/time/time.h"

namespace emulator {

/// Effect of rules on one direction of a connection.
struct DirectionEffect {
  absl::Duration delay;
  /// Bytes per second; 0 for no limit.
  int64_t bandwidth = 0;
  /// Bytes are buffered until the rule is removed. This models a partition,
  /// after which TCP retransmits the bytes.
  bool black_hole = false;
};

/// Combined effect of the matching rules on one connection.
struct LinkEffect {
  DirectionEffect to_target;
  DirectionEffect to_source;
  /// Open connections are reset, and so are new ones.
  bool cut = false;
};

}  // namespace emulator

#endif  // EMULATOR_LINK_EFFECT_H_
