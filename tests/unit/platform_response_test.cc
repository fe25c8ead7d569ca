#include "boragepaddle/config_service/platform_response.h"

#include <doctest/doctest.h>

#include <string>

namespace boragepaddle::config_service {
namespace {

TEST_CASE("platform: a configuration response is parsed") {
  const auto answer =
      ParseConfigResponse(R"({"revision": 7, "files": {"a.json": "{}"}})");
  REQUIRE(answer.has_value());
  CHECK(answer.value().revision == 7);
  CHECK(answer.value().files.at("a.json") == "{}");
}

TEST_CASE("platform: a VM list response is parsed") {
  const auto answer = ParseVmListResponse(
      R"({"revision": 3, "vms": [{"vm_id": "catalogue-0", "member": "bureau",
          "service": "catalogue", "availability_zone": "tamsui",
          "region": "tw-north", "peer_address": "127.0.0.1:9",
          "state": "leaving"}]})");
  REQUIRE(answer.has_value());
  REQUIRE(answer.value().vms.size() == 1);
  CHECK(answer.value().vms[0].availability_zone == "tamsui");
  CHECK(answer.value().vms[0].state == schema::VmState::kLeaving);
}

// Guards against a stack overflow: a document of another shape, nested 300,000
// levels deep, ended every node of the users' platform.
TEST_CASE("platform: deeply nested responses are no configuration") {
  constexpr size_t kDepth = 300000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  for (const std::string& body :
       {"{\"revision\": 7, \"files\": {\"a\": " + nested + "}}",
        "{\"revision\": 7, \"files\": " + nested + "}", nested}) {
    CHECK_FALSE(ParseConfigResponse(body).has_value());
  }
  CHECK_FALSE(ParseVmListResponse("{\"revision\": 7, \"vms\": " + nested + "}")
                  .has_value());
}

// Guards against an exception, or a partially parsed list, on invalid
// responses.
TEST_CASE("platform: malformed responses are reported as errors") {
  for (const std::string body :
       {"", "[]", "null", "{\"revision\": -1, \"files\": {}}",
        "{\"revision\": \"7\", \"files\": {}}", "{\"revision\": 7}",
        "{\"revision\": 7, \"files\": {\"a\": 1}}"}) {
    CAPTURE(body);
    const auto answer = ParseConfigResponse(body);
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == PlatformErrorCode::kMalformed);
  }
  for (const std::string body :
       {"{\"revision\": 7, \"vms\": {}}", "{\"revision\": 7, \"vms\": [1]}",
        "{\"revision\": 7, \"vms\": [{\"vm_id\": \"a\"}]}"}) {
    CAPTURE(body);
    CHECK_FALSE(ParseVmListResponse(body).has_value());
  }
}

}  // namespace
}  // namespace boragepaddle::config_service
