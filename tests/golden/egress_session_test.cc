#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "tests/unit/egress_session.h"

namespace boragepaddle::node {
namespace {

std::string ReadSession() {
  std::ifstream file(std::string(BORAGEPADDLE_SOURCE_DIR) +
                     "/tests/golden/egress_session.txt");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against decisions that depend on anything but their inputs, and
// against unintended changes of decisions.
TEST_CASE("golden: a recorded egress session gives the same actions") {
  const std::string expected = ReadSession();
  REQUIRE_FALSE(expected.empty());
  for (int run = 0; run < 3; ++run) {
    const std::string actual = ReplayEgress(expected);
    if (actual != expected) {
      MESSAGE(actual);
    }
    CHECK(actual == expected);
  }
}

}  // namespace
}  // namespace boragepaddle::node
