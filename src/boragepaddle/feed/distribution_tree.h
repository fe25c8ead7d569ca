#ifndef BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_
#define BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace boragepaddle::feed {

/// Shape of the tree in which changes spread.
struct TreeSettings {
  /// Nodes that read the store. Several zones may be lost, and the store may
  /// turn some nodes away, without all of them being affected.
  size_t readers = 5;
  /// Nodes of the next level for each node of a level. Bounds what one node
  /// sends for a change.
  size_t fan_out = 8;
};

struct Host {
  /// IP address of the VM.
  std::string address;
  std::string availability_zone;
};

/// All hosts, readers first, then level by level. Equal on nodes with equal
/// lists; a host that joins or leaves moves the others by one position at most.
struct DistributionTree {
  TreeSettings settings;
  std::vector<Host> hosts;
  /// Place of each address.
  absl::flat_hash_map<std::string, size_t> positions;
};

/// Orders hosts by their hash, in turn from each availability zone.
DistributionTree BuildDistributionTree(const TreeSettings& settings,
                                       std::vector<Host> hosts);

/// True if the host reads the store itself.
bool IsReader(const DistributionTree& order, absl::string_view address);

/// Hosts that tell this one of changes, best first: the level above, or the
/// other readers. A host that is not in the order counts as the last one.
std::vector<std::string> CandidateSources(const DistributionTree& order,
                                          const Host& host);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_
