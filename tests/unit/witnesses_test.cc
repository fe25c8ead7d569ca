#include "boragepaddle/quarantine/witnesses.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace boragepaddle::quarantine {
namespace {

std::vector<std::string> Hosts(int count) {
  std::vector<std::string> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back(absl::StrCat("10.0.0.", i));
  }
  return hosts;
}

// Guards against nodes that look for a rejection where no other node put it.
TEST_CASE("witnesses: the choice does not depend on the order of the list") {
  std::vector<std::string> hosts = Hosts(60);
  const auto chosen = ChooseWitnesses(hosts, "catalogue", 8);
  CHECK(chosen.size() == 8);
  CHECK(std::set<std::string>(chosen.begin(), chosen.end()).size() == 8);
  std::reverse(hosts.begin(), hosts.end());
  CHECK(ChooseWitnesses(hosts, "catalogue", 8) == chosen);
  CHECK(ChooseWitnesses(hosts, "lending", 8) != chosen);
  // Without one of them, the others stay.
  hosts.erase(std::find(hosts.begin(), hosts.end(), chosen.front()));
  const auto rest = ChooseWitnesses(hosts, "catalogue", 8);
  CHECK(std::equal(chosen.begin() + 1, chosen.end(), rest.begin()));
}

// Guards against services in small fleets.
TEST_CASE("witnesses: fewer hosts than wanted are all chosen") {
  CHECK(ChooseWitnesses(Hosts(2), "catalogue", 8).size() == 2);
  CHECK(ChooseWitnesses({}, "catalogue", 8).empty());
}

}  // namespace
}  // namespace boragepaddle::quarantine
