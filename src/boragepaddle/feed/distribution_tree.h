#ifndef BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_
#define BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace boragepaddle::feed {

/// Shape of the tree along which changes are distributed.
struct TreeSettings {
  /// Nodes that read the store. Enough that the loss of several availability
  /// zones, or of access to the store at some nodes, leaves other readers.
  size_t readers = 5;
  /// Children per node. Bounds the messages that one node sends for a change.
  size_t fan_out = 8;
};

struct Host {
  /// IP address of the VM.
  std::string address;
  std::string availability_zone;
};

/// All hosts in breadth-first tree, readers first. Nodes with equal host lists
/// build equal trees; a host that joins or leaves moves the others by at most
/// one position.
struct DistributionTree {
  TreeSettings settings;
  std::vector<Host> hosts;
  /// Position of each address in `hosts`.
  absl::flat_hash_map<std::string, size_t> positions;
};

/// Orders hosts by hash, alternating between availability zones.
DistributionTree BuildDistributionTree(const TreeSettings& settings,
                                       std::vector<Host> hosts);

bool IsReader(const DistributionTree& tree, absl::string_view address);

/// Hosts that may serve as sources of this one, in order of preference: its
/// parent level, or the other readers for a reader. A host that is not listed
/// is placed after the last one.
std::vector<std::string> CandidateSources(const DistributionTree& tree,
                                          const Host& host);

}  // namespace boragepaddle::feed

#endif  // BORAGEPADDLE_FEED_DISTRIBUTION_TREE_H_
