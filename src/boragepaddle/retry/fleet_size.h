#ifndef BORAGEPADDLE_RETRY_FLEET_SIZE_H_
#define BORAGEPADDLE_RETRY_FLEET_SIZE_H_

#include <cstddef>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "boragepaddle/catalog/worker_directory.h"

namespace boragepaddle::retry {

struct FleetSizeSettings {
  /// A node counts for this long after its worker was last listed: it takes
  /// requests of clients also while its worker is down.
  absl::Duration retention = absl::Minutes(2);
};

/// Number of nodes that share a limit on the whole fleet.
struct FleetSize {
  FleetSizeSettings settings;
  /// Time at which a worker on the VM was last listed, by host; infinite future
  /// while one is.
  absl::flat_hash_map<std::string, absl::Time> last_listed;
};

/// The list of workers changed.
void OnDirectoryChanged(FleetSize& fleet,
                        const catalog::WorkerDirectory& directory,
                        absl::Time now);

/// At least 1.
size_t CountNodes(const FleetSize& fleet);

}  // namespace boragepaddle::retry

#endif  // BORAGEPADDLE_RETRY_FLEET_SIZE_H_
