#include "boragepaddle/feed/distribution_tree.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/str_cat.h"

namespace boragepaddle::feed {
namespace {

std::vector<Host> MakeHosts(size_t count, size_t zones) {
  std::vector<Host> hosts;
  for (size_t index = 0; index < count; ++index) {
    hosts.push_back({absl::StrCat("10.1.", index / 250, ".", index % 250),
                     absl::StrCat("z", index % zones)});
  }
  return hosts;
}

TEST_CASE("Nodes with equal lists choose the same readers, in several zones") {
  std::vector<Host> hosts = MakeHosts(195, 5);
  const DistributionTree order = BuildDistributionTree(TreeSettings(), hosts);
  std::reverse(hosts.begin(), hosts.end());
  const DistributionTree other = BuildDistributionTree(TreeSettings(), hosts);
  std::set<std::string> zones;
  for (size_t position = 0; position < order.settings.readers; ++position) {
    CHECK(order.hosts[position].address == other.hosts[position].address);
    CHECK(IsReader(order, order.hosts[position].address));
    zones.insert(order.hosts[position].availability_zone);
  }
  CHECK(zones.size() == 5);
  CHECK_FALSE(IsReader(order, order.hosts[5].address));
}

TEST_CASE("The first two sources lie in the own zone and in another") {
  const DistributionTree order =
      BuildDistributionTree(TreeSettings(), MakeHosts(195, 5));
  for (const Host& host : order.hosts) {
    const auto sources = CandidateSources(order, host);
    REQUIRE(sources.size() >= 2);
    const auto zone_of = [&](const std::string& address) {
      return order.hosts[order.positions.at(address)].availability_zone;
    };
    CHECK(zone_of(sources[1]) != host.availability_zone);
    CHECK(std::find(sources.begin(), sources.end(), host.address) ==
          sources.end());
  }
}

TEST_CASE("The tree bounds the number of nodes that one tells") {
  const DistributionTree order =
      BuildDistributionTree(TreeSettings(), MakeHosts(3000, 5));
  std::map<std::string, size_t> told;
  for (const Host& host : order.hosts) {
    const auto sources = CandidateSources(order, host);
    for (size_t index = 0; index < 2; ++index) {
      ++told[sources[index]];
    }
  }
  size_t most = 0;
  for (const auto& [address, count] : told) {
    most = std::max(most, count);
  }
  CHECK(most <= 4 * order.settings.fan_out);
}

TEST_CASE("A host that joins changes the sources of few others") {
  const std::vector<Host> hosts = MakeHosts(196, 5);
  const DistributionTree before = BuildDistributionTree(
      TreeSettings(), std::vector<Host>(hosts.begin(), hosts.end() - 1));
  const DistributionTree after = BuildDistributionTree(TreeSettings(), hosts);
  size_t changed = 0;
  for (const Host& host : before.hosts) {
    const auto old_sources = CandidateSources(before, host);
    const auto new_sources = CandidateSources(after, host);
    changed +=
        old_sources[0] != new_sources[0] || old_sources[1] != new_sources[1]
            ? 1
            : 0;
  }
  CHECK(changed < 40);
}

TEST_CASE("A host that is not listed is told like the last one") {
  const DistributionTree order =
      BuildDistributionTree(TreeSettings(), MakeHosts(13, 3));
  const auto sources = CandidateSources(order, {"10.9.9.9", "z0"});
  CHECK(sources.size() == 5);
  for (const std::string& source : sources) {
    CHECK(IsReader(order, source));
  }
}

}  // namespace
}  // namespace boragepaddle::feed
