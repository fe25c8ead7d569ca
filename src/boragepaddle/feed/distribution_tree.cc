#include "boragepaddle/feed/distribution_tree.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::feed {

namespace {

/// Range of positions of one level.
struct Level {
  size_t begin = 0;
  size_t end = 0;
};

/// Parent level of a position; the level of the readers for a reader.
Level ParentLevel(const DistributionTree& tree, size_t position) {
  Level level{0, std::min(tree.settings.readers, tree.hosts.size())};
  if (position < level.end) {
    return level;
  }
  size_t size = tree.settings.readers;
  while (true) {
    size *= tree.settings.fan_out;
    const Level below{level.end, level.end + size};
    if (position < below.end) {
      return level;
    }
    level = below;
  }
}

}  // namespace

DistributionTree BuildDistributionTree(const TreeSettings& settings,
                                       std::vector<Host> hosts) {
  struct HashedHost {
    uint64_t hash = 0;
    Host host;
  };
  std::map<std::string, std::vector<HashedHost>> zones;
  for (Host& host : hosts) {
    const uint64_t hash = base::StableHash({"reader", host.address});
    std::vector<HashedHost>& members = zones[host.availability_zone];
    members.push_back({hash, std::move(host)});
  }
  // Sort key: rank within the zone, then the hash of the zone.
  std::vector<std::tuple<size_t, uint64_t, Host>> ranked;
  for (auto& [zone, members] : zones) {
    std::sort(members.begin(), members.end(),
              [](const HashedHost& a, const HashedHost& b) {
                return std::tie(a.hash, a.host.address) <
                       std::tie(b.hash, b.host.address);
              });
    const uint64_t zone_hash = base::StableHash({"zone", zone});
    for (size_t index = 0; index < members.size(); ++index) {
      ranked.emplace_back(index, zone_hash, std::move(members[index].host));
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a)) <
           std::tie(std::get<0>(b), std::get<1>(b));
  });
  DistributionTree tree;
  tree.settings = settings;
  for (auto& [index, zone_hash, host] : ranked) {
    tree.positions[host.address] = tree.hosts.size();
    tree.hosts.push_back(std::move(host));
  }
  return tree;
}

bool IsReader(const DistributionTree& tree, absl::string_view address) {
  const auto found = tree.positions.find(address);
  return found != tree.positions.end() && found->second < tree.settings.readers;
}

std::vector<std::string> CandidateSources(const DistributionTree& tree,
                                          const Host& host) {
  const auto found = tree.positions.find(host.address);
  const size_t position =
      found == tree.positions.end() ? tree.hosts.size() : found->second;
  const Level level = ParentLevel(tree, position);
  std::vector<std::pair<uint64_t, size_t>> ranked;
  for (size_t at = level.begin; at < level.end && at < tree.hosts.size();
       ++at) {
    if (at != position) {
      ranked.emplace_back(
          base::StableHash({host.address, tree.hosts[at].address}), at);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  // The first source in the same zone avoids cross-zone traffic; the first in
  // another zone remains when this zone is lost.
  const auto first_where = [&](bool same_zone) {
    return std::find_if(ranked.begin(), ranked.end(), [&](const auto& entry) {
      return (tree.hosts[entry.second].availability_zone ==
              host.availability_zone) == same_zone;
    });
  };
  std::vector<size_t> positions;
  for (const bool same_zone : {true, false}) {
    const auto best = first_where(same_zone);
    if (best != ranked.end()) {
      positions.push_back(best->second);
    }
  }
  for (const auto& [hash, at] : ranked) {
    if (std::find(positions.begin(), positions.end(), at) == positions.end()) {
      positions.push_back(at);
    }
  }
  std::vector<std::string> sources;
  sources.reserve(positions.size());
  for (const size_t at : positions) {
    sources.push_back(tree.hosts[at].address);
  }
  return sources;
}

}  // namespace boragepaddle::feed
