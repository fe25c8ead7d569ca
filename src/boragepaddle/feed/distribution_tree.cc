#include "boragepaddle/feed/distribution_tree.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::feed {

namespace {

/// Places of one level.
struct Level {
  size_t begin = 0;
  size_t end = 0;
};

/// Level above that of the position; its own for a is_reader.
Level ParentLevel(const DistributionTree& order, size_t position) {
  Level level{0, std::min(order.settings.readers, order.hosts.size())};
  if (position < level.end) {
    return level;
  }
  size_t size = order.settings.readers;
  while (true) {
    size *= order.settings.fan_out;
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
  // Place within the zone, then zone.
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
  DistributionTree order;
  order.settings = settings;
  for (auto& [index, zone_hash, host] : ranked) {
    order.positions[host.address] = order.hosts.size();
    order.hosts.push_back(std::move(host));
  }
  return order;
}

bool IsReader(const DistributionTree& order, absl::string_view address) {
  const auto found = order.positions.find(address);
  return found != order.positions.end() &&
         found->second < order.settings.readers;
}

std::vector<std::string> CandidateSources(const DistributionTree& order,
                                          const Host& host) {
  const auto found = order.positions.find(host.address);
  const size_t position =
      found == order.positions.end() ? order.hosts.size() : found->second;
  const Level level = ParentLevel(order, position);
  std::vector<std::pair<uint64_t, size_t>> ranked;
  for (size_t at = level.begin; at < level.end && at < order.hosts.size();
       ++at) {
    if (at != position) {
      ranked.emplace_back(
          base::StableHash({host.address, order.hosts[at].address}), at);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  // The best of the own zone costs no traffic between zones; the best of the
  // others stays when the own zone is lost.
  const auto first_where = [&](bool own_zone) {
    return std::find_if(ranked.begin(), ranked.end(), [&](const auto& entry) {
      return (order.hosts[entry.second].availability_zone ==
              host.availability_zone) == own_zone;
    });
  };
  std::vector<size_t> positions;
  for (const bool own_zone : {true, false}) {
    const auto best = first_where(own_zone);
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
    sources.push_back(order.hosts[at].address);
  }
  return sources;
}

}  // namespace boragepaddle::feed
