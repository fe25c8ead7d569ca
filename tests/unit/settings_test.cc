#include "boragepaddle/schema/settings.h"

#include <doctest/doctest.h>

namespace boragepaddle::schema {
namespace {

constexpr absl::string_view kValid = R"({
  // Comments are allowed.
  "member": "bureau",
  "services": [{"name": "lending", "slots": 20, "operations": [
    {"name": "approve", "class": "member", "at_most_once": true}]}]
})";

TEST_CASE("settings: a member file with comments is read") {
  const auto file = ReadMemberFile("10-bureau.json", kValid);
  REQUIRE(file.has_value());
  CHECK(file.value().services[0].slots == 20);
  CHECK(file.value().services[0].operations[0].at_most_once);
}

TEST_CASE("settings: errors state file, path, value and accepted values") {
  const auto file = ReadMemberFile(
      "x.json", R"({"member": "m", "services": [{"name": "s", "slots": 0,
                    "colour": 1, "operations": [{"class": "vip"}]}]})");
  REQUIRE_FALSE(file.has_value());
  const SettingsErrors& errors = file.error();
  REQUIRE(errors.size() == 4);
  CHECK(Describe(errors[0]) ==
        "x.json: services[0].slots: out of range 0; expected a whole number "
        "from 1 to 10000");
  CHECK(errors[1].code == SettingsErrorCode::kMissingKey);
  CHECK(errors[2].path == "services[0].operations[0].class");
  CHECK(errors[3].code == SettingsErrorCode::kUnknownKey);
  CHECK(errors[3].path == "services[0].colour");
}

TEST_CASE("settings: a syntax error is typed") {
  const auto file = ReadMemberFile("x.json", "{");
  REQUIRE_FALSE(file.has_value());
  CHECK(file.error()[0].code == SettingsErrorCode::kSyntax);
}

}  // namespace
}  // namespace boragepaddle::schema
