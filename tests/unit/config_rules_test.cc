#include <doctest/doctest.h>

#include "boragepaddle/config/explain.h"
#include "tests/unit/config_folders.h"

namespace boragepaddle::config {
namespace {

constexpr char kSafe[] = R"(, "idempotent": true, "retry_on_unknown": true)";
constexpr char kOnce[] = R"(, "at_most_once": true)";

std::string Calls(absl::string_view target) {
  return absl::StrCat(R"(, "calls": [")", target, R"("])");
}

std::string Join(absl::string_view a, absl::string_view b) {
  return absl::StrCat(a, ",", b);
}

TEST_CASE("config rules: every fault says where it is and how to correct it") {
  const ConfigError error =
      OnlyError(OneService(Operation("o", Calls("s.gone"))));
  CHECK(Describe(error) ==
        "10-a.json: services[0].operations[0].calls[0]: unknown-operation "
        "s.gone: service s has no such operation; declare the operation or "
        "remove the call");
  CHECK(OnlyError(OneService(Operation("o", Calls("t.x")))).code ==
        ConfigErrorCode::kUnknownService);
  CHECK(OnlyError(OneService(Operation("o", Calls("tx")))).code ==
        ConfigErrorCode::kBadCallTarget);
}

// A retry of the root would run the at-most-once operation twice (R5).
TEST_CASE("config rules: retry above an at-most-once operation is refused") {
  const std::string operations = Join(
      Operation("top", absl::StrCat(kSafe, Calls("s.middle"))),
      Join(Operation("middle",
                     absl::StrCat(R"(, "idempotent": true)", Calls("s.once"))),
           Operation("once", kOnce)));
  const ConfigError error = OnlyError(OneService(operations));
  CHECK(error.code == ConfigErrorCode::kUnsafeRetry);
  CHECK(error.path == "services[0].operations[0].retry_on_unknown");
  CHECK(error.reason ==
        "it reaches an at-most-once operation: s.top -> s.middle -> s.once");
}

TEST_CASE("config rules: retry of what must not run twice is refused") {
  const std::string retry = R"(, "retry_on_unknown": true)";
  for (const std::string& operations :
       {Operation("o", retry), Operation("o", absl::StrCat(retry, kOnce)),
        Join(Operation("o", absl::StrCat(kSafe, Calls("s.p"))),
             Operation("p", ""))}) {
    CHECK(OnlyError(OneService(operations)).code ==
          ConfigErrorCode::kUnsafeRetry);
  }
}

TEST_CASE("config rules: at-most-once and idempotent contradict each other") {
  const ConfigError error = OnlyError(OneService(
      Operation("o", absl::StrCat(kOnce, R"(, "idempotent": true)"))));
  CHECK(error.code == ConfigErrorCode::kContradiction);
}

TEST_CASE("config rules: a cycle of calls is refused") {
  const ConfigError error = OnlyError(OneService(
      Join(Operation("in", Calls("s.x")),
           Join(Operation("x", Calls("s.y")), Operation("y", Calls("s.x"))))));
  CHECK(error.code == ConfigErrorCode::kCallCycle);
  CHECK(error.value == "s.x -> s.y -> s.x");
  CHECK(OnlyError(OneService(Operation("o", Calls("s.o")))).value ==
        "s.o -> s.o");
}

std::string Chain(int length) {
  std::string operations = Operation("o1", "");
  for (int index = 2; index <= length; ++index) {
    operations =
        Join(operations, Operation(absl::StrCat("o", index),
                                   Calls(absl::StrCat("s.o", index - 1))));
  }
  return operations;
}

TEST_CASE("config rules: a chain of 8 is accepted and a longer one refused") {
  const auto table = MergeFolder(OneService(Chain(8)), Founders());
  REQUIRE(table.has_value());
  CHECK(table.value()->FindOperation("s", "o8")->depth == 8);
  const ConfigError error = OnlyError(OneService(Chain(20)));
  CHECK(error.code == ConfigErrorCode::kCallTooDeep);
  CHECK(error.path == "services[0].operations[8].calls");
}

// Otherwise a member could change the rules of another member's service.
TEST_CASE("config rules: a service named by two members is refused") {
  Folder folder = OneService(Operation("o", ""));
  folder["20-b.json"] = FileOf("b", "", Service("s", ""));
  const ConfigErrors errors = CheckFolder(folder, Founders());
  REQUIRE(errors.size() == 2);
  CHECK(errors[0].code == ConfigErrorCode::kForeignService);
  CHECK(errors[1].file == "20-b.json");
  CHECK(errors[1].path == "services[0].name");
}

TEST_CASE("config rules: duplicates and names that break a path are refused") {
  CHECK(OnlyError(OneService(Join(Operation("o", ""), Operation("o", ""))))
            .code == ConfigErrorCode::kDuplicateOperation);
  CHECK(OnlyError(OneService(Operation("a/b", ""))).code ==
        ConfigErrorCode::kBadName);
  const Folder folder = {
      {"a", FileOf("a", "", Join(Service("s", ""), Service("s", "")))}};
  CHECK(CheckFolder(folder, Founders()).at(0).code ==
        ConfigErrorCode::kDuplicateService);
}

// A missing target that belongs to an unreadable file is not a second fault.
TEST_CASE("config rules: an unreadable file is the only fault reported") {
  Folder folder = OneService(Operation("o", Calls("t.x")));
  folder["20-b.json"] = "{";
  CHECK(OnlyError(folder).code == ConfigErrorCode::kInvalidFile);
}

TEST_CASE("service table: look-up, owner and call graph") {
  const auto result = MergeFolder(
      OneService(Join(Operation("o", Calls("s.p")), Operation("p", kOnce))),
      Founders());
  REQUIRE(result.has_value());
  const ServiceTable& table = *result.value();
  const OperationEntry& o = *table.FindOperation("s", "o");
  const OperationEntry& p = *table.FindOperation("s", "p");
  CHECK(table.FindOperation("s", "q") == nullptr);
  CHECK(table.FindOperation("t", "o") == nullptr);
  CHECK(table.ServiceOf(o).file == "10-a.json");
  CHECK(o.reaches_at_most_once);
  CHECK_FALSE(o.idempotent_closure);
  CHECK(table.MayCall(o, p));
  CHECK_FALSE(table.MayCall(p, o));

  const auto explanation = Explain(table, "s", "o");
  REQUIRE(explanation.has_value());
  CHECK(explanation.value().file == "10-a.json");
  CHECK(explanation.value().at_most_once_path ==
        std::vector<std::string>{"s.o", "s.p"});
  CHECK(explanation.value().keys[0].path == "services[0].operations[0].class");
  CHECK(explanation.value().keys[0].is_default);
  CHECK(Explain(table, "s", "q").error().file == "10-a.json");
}

}  // namespace
}  // namespace boragepaddle::config
