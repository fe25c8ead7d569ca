#ifndef BORAGEPADDLE_CALLER_CALLER_SETTINGS_H_
#define BORAGEPADDLE_CALLER_CALLER_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace boragepaddle::caller {

/// Settings of a caller.
struct CallerSettings {
  /// Caller addresses (`host:port`) of nodes, in the order of preference.
  std::vector<std::string> entry_nodes;
  /// Time for one call with all its attempts.
  absl::Duration deadline = absl::Seconds(2);
  /// Sends of one call, without requests for tickets.
  uint32_t attempts = 3;
};

}  // namespace boragepaddle::caller

#endif  // BORAGEPADDLE_CALLER_CALLER_SETTINGS_H_
