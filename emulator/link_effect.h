#ifndef EMULATOR_LINK_EFFECT_H_
#define EMULATOR_LINK_EFFECT_H_

#include <cstdint>

#include "absl/time/time.h"

namespace emulator {

/// What a rule does to the bytes of one direction.
struct DirectionEffect {
  absl::Duration delay;
  /// Bytes per second; 0 does not limit.
  int64_t bandwidth = 0;
  /// Bytes are held back until the rule ends, as behind a partition: TCP sends
  /// them again later.
  bool black_hole = false;
};

/// What the matching rules do to one connection.
struct LinkEffect {
  DirectionEffect to_target;
  DirectionEffect to_source;
  /// The connection is reset, and so are new ones.
  bool cut = false;
};

}  // namespace emulator

#endif  // EMULATOR_LINK_EFFECT_H_
