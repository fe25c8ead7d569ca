#include "boragepaddle/schema/json_reader.h"

#include <doctest/doctest.h>

#include "boragepaddle/schema/settings.h"

namespace boragepaddle::schema {
namespace {

TEST_CASE("json reader: an unrepresentable number is an error, not a throw") {
  const auto file = ReadMemberFile("x.json", R"({"member": 1e9999})");
  REQUIRE_FALSE(file.has_value());
  CHECK(file.error()[0].code == SettingsErrorCode::kSyntax);
}

// Quoting the value in the error recurses once per level.
TEST_CASE("json reader: deep nesting does not overflow the stack") {
  const std::string deep = std::string(400000, '[') + std::string(400000, ']');
  const auto file = ReadMemberFile("x.json", "{\"member\": " + deep + "}");
  REQUIRE_FALSE(file.has_value());
  CHECK(file.error()[0].value == "nested deeper than 32");
}

// The parser keeps the last of duplicate values, so a second at_most_once key
// could disable the protection unnoticed.
TEST_CASE("json reader: a duplicate key is an error") {
  const auto file = ReadMemberFile(
      "x.json", R"({"member": "m", "services": [], "member": "n"})");
  REQUIRE_FALSE(file.has_value());
  CHECK(file.error()[0].value == "key member twice in one object");
}

}  // namespace
}  // namespace boragepaddle::schema
