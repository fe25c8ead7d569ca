#include <doctest/doctest.h>

#include "tests/unit/config_folders.h"

namespace boragepaddle::config {
namespace {

constexpr char kApprovesC3[] = R"({"member": "c", "order": 3})";
constexpr char kApprovesD4[] = R"({"member": "d", "order": 4})";

Folder WithCandidate(absl::string_view a, absl::string_view b) {
  return {{"10-a.json", FileOf("a", a, "")},
          {"20-b.json", FileOf("b", b, "")},
          {"30-c.json", FileOf("c", "", Service("cs", Operation("o", "")))}};
}

std::vector<std::string> MembersOf(const Folder& folder) {
  const TableResult table = MergeFolder(folder, Founders());
  REQUIRE(table.has_value());
  std::vector<std::string> names;
  for (const Member& member : table.value()->GetMembership().members) {
    names.push_back(member.name);
  }
  return names;
}

using Names = std::vector<std::string>;

// Guards against a service of a member that not everybody has approved (R9).
TEST_CASE("membership: a candidate has no effect before the last approval") {
  const TableResult waiting =
      MergeFolder(WithCandidate(kApprovesC3, ""), Founders());
  REQUIRE(waiting.has_value());
  CHECK(waiting.value()->FindService("cs") == nullptr);
  const Candidate& candidate =
      waiting.value()->GetMembership().candidates.at(0);
  CHECK(candidate.order == 3);
  CHECK(candidate.missing_approvals == Names{"b"});

  const TableResult joined =
      MergeFolder(WithCandidate(kApprovesC3, kApprovesC3), Founders());
  REQUIRE(joined.has_value());
  CHECK(joined.value()->FindService("cs") != nullptr);
}

// Otherwise anybody who can add a file could block every member's changes.
TEST_CASE("membership: a faulty file of a candidate refuses nothing") {
  Folder folder = WithCandidate(kApprovesC3, "");
  folder["30-c.json"] = R"({"member": "c", "services": 7})";
  CHECK(CheckFolder(folder, Founders()).empty());
  folder["20-b.json"] = FileOf("b", kApprovesC3, "");
  CHECK(OnlyError(folder).code == ConfigErrorCode::kInvalidFile);
}

TEST_CASE("membership: two candidates for one order both wait") {
  Folder folder = WithCandidate(kApprovesC3, R"({"member": "d", "order": 3})");
  CHECK(MembersOf(folder) == Names{"a", "b"});
  const auto table = MergeFolder(folder, Founders());
  CHECK(table.value()->GetMembership().candidates.size() == 2);
}

TEST_CASE("membership: order 4 waits for order 3 and for its approval") {
  const std::string both = absl::StrCat(kApprovesC3, ",", kApprovesD4);
  Folder folder = WithCandidate(both, both);
  folder["40-d.json"] = FileOf("d", "", "");
  CHECK(MembersOf(folder) == Names{"a", "b", "c"});
  folder["30-c.json"] = FileOf("c", kApprovesD4, "");
  CHECK(MembersOf(folder) == Names{"a", "b", "c", "d"});
}

// A withdrawal in the middle would remove the members that joined later.
TEST_CASE("membership: withdrawing an approval below another is refused") {
  const std::string both = absl::StrCat(kApprovesC3, ",", kApprovesD4);
  Folder folder = WithCandidate(both, kApprovesD4);
  const ConfigError error = OnlyError(folder);
  CHECK(error.code == ConfigErrorCode::kApprovalGap);
  CHECK(error.file == "20-b.json");
}

TEST_CASE("membership: withdrawing the newest approval ends a membership") {
  CHECK(MembersOf(WithCandidate(kApprovesC3, kApprovesC3)).size() == 3);
  CHECK(MembersOf(WithCandidate(kApprovesC3, "")).size() == 2);
}

TEST_CASE("membership: a withdrawal that breaks a call is refused") {
  Folder folder = WithCandidate(kApprovesC3, "");
  folder["10-a.json"] = FileOf(
      "a", kApprovesC3, Service("s", Operation("o", R"(, "calls": ["cs.o"])")));
  const ConfigError error = OnlyError(folder);
  CHECK(error.code == ConfigErrorCode::kUnknownService);
  CHECK(error.reason == "the service belongs to c, which is not a member");
}

// A removed file must not let a candidate in without its member's approval.
TEST_CASE("membership: a founding member without a file keeps its vote") {
  Folder folder = WithCandidate(kApprovesC3, "");
  folder.erase("20-b.json");
  CHECK(MembersOf(folder) == Names{"a", "b"});
}

TEST_CASE("membership: a removed file withdraws its approvals") {
  Folder folder = WithCandidate(kApprovesC3, kApprovesC3);
  folder.erase("20-b.json");
  CHECK(MembersOf(folder) == Names{"a", "b"});
}

// Nodes with the old and the new settings serve side by side while a member
// that left is taken out of the founding members.
TEST_CASE("membership: old and new founding members give the same services") {
  const Folder folder = WithCandidate(kApprovesC3, kApprovesC3);
  for (const std::vector<std::string>& founders :
       {Founders(), {"a", "b", "c"}, {"a", "c"}}) {
    const auto table = MergeFolder(folder, founders);
    REQUIRE(table.has_value());
    CHECK(table.value()->FindService("cs") != nullptr);
  }
}

TEST_CASE("membership: a file that sorts first gains nothing") {
  Folder folder = WithCandidate(kApprovesC3, kApprovesC3);
  const Names members = MembersOf(folder);
  folder["00-c.json"] = folder["30-c.json"];
  folder.erase("30-c.json");
  CHECK(MembersOf(folder) == members);
}

// Guards against a file that speaks for another member.
TEST_CASE("membership: two files of one member are refused") {
  Folder folder = WithCandidate("", "");
  folder["00-x.json"] = FileOf("a", "", Service("x", ""));
  const ConfigErrors errors = CheckFolder(folder, Founders());
  REQUIRE(errors.size() == 2);
  CHECK(errors[0].code == ConfigErrorCode::kDuplicateMember);
  CHECK(errors[0].file == "00-x.json");
  CHECK(errors[1].file == "10-a.json");
}

TEST_CASE("membership: wrong approvals are refused") {
  for (const char* approvals :
       {R"({"member": "c", "order": 3}, {"member": "c", "order": 4})",
        R"({"member": "c", "order": 3}, {"member": "d", "order": 3})"}) {
    const ConfigError error = OnlyError(WithCandidate(approvals, ""));
    CHECK(error.code == ConfigErrorCode::kBadApproval);
    CHECK(error.path == "approves[1].member");
  }
}

}  // namespace
}  // namespace boragepaddle::config
