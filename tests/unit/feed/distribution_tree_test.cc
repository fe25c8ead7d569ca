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

TEST_CASE(
    "Nodes with equal host lists choose the same readers, in several zones") {
  std::vector<Host> hosts = MakeHosts(195, 5);
  const DistributionTree tree = BuildDistributionTree(TreeSettings(), hosts);
  std::reverse(hosts.begin(), hosts.end());
  const DistributionTree other = BuildDistributionTree(TreeSettings(), hosts);
  std::set<std::string> zones;
  for (size_t position = 0; position < tree.settings.readers; ++position) {
    CHECK(tree.hosts[position].address == other.hosts[position].address);
    CHECK(IsReader(tree, tree.hosts[position].address));
    zones.insert(tree.hosts[position].availability_zone);
  }
  CHECK(zones.size() == 5);
  CHECK_FALSE(IsReader(tree, tree.hosts[5].address));
}

TEST_CASE("The first two sources are in the same zone and in another one") {
  const DistributionTree tree =
      BuildDistributionTree(TreeSettings(), MakeHosts(195, 5));
  for (const Host& host : tree.hosts) {
    const auto sources = CandidateSources(tree, host);
    REQUIRE(sources.size() >= 2);
    const auto zone_of = [&](const std::string& address) {
      return tree.hosts[tree.positions.at(address)].availability_zone;
    };
    CHECK(zone_of(sources[1]) != host.availability_zone);
    CHECK(std::find(sources.begin(), sources.end(), host.address) ==
          sources.end());
  }
}

TEST_CASE("The tree limits the number of subscribers of one node") {
  const DistributionTree tree =
      BuildDistributionTree(TreeSettings(), MakeHosts(3000, 5));
  std::map<std::string, size_t> subscribers;
  for (const Host& host : tree.hosts) {
    const auto sources = CandidateSources(tree, host);
    for (size_t index = 0; index < 2; ++index) {
      ++subscribers[sources[index]];
    }
  }
  size_t most = 0;
  for (const auto& [address, count] : subscribers) {
    most = std::max(most, count);
  }
  CHECK(most <= 4 * tree.settings.fan_out);
}

TEST_CASE("A host that joins changes the sources of few other hosts") {
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

TEST_CASE("A host that is not listed gets the sources of the last position") {
  const DistributionTree tree =
      BuildDistributionTree(TreeSettings(), MakeHosts(13, 3));
  const auto sources = CandidateSources(tree, {"10.9.9.9", "z0"});
  CHECK(sources.size() == 5);
  for (const std::string& source : sources) {
    CHECK(IsReader(tree, source));
  }
}

}  // namespace
}  // namespace boragepaddle::feed
