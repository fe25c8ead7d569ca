#include "boragepaddle/quarantine/quarantine.h"

#include <doctest/doctest.h>

namespace boragepaddle::quarantine {
namespace {

const absl::Time kNow = absl::UnixEpoch();
constexpr uint64_t kBad = 4;

QuarantineState Node(const std::string& vm_id) {
  QuarantineState state;
  state.settings.service = "catalogue";
  state.settings.vm_id = vm_id;
  return state;
}

void Deliver(const std::vector<schema::CrashReport>& reports,
             QuarantineState& to) {
  for (const schema::CrashReport& report : reports) {
    OnCrashReport(to, report, kNow);
  }
}

// Guards against a third worker lost when the caller resends through several
// nodes at the same moment.
TEST_CASE("quarantine: exactly one node may run a suspect") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto reports = OnWorkerCrash(a, {kBad, 5, 6}, 1, {"b", "c"}, kNow);
  Deliver(reports, b);
  Deliver(reports, c);
  for (const uint64_t fingerprint : {kBad, uint64_t{5}, uint64_t{6}}) {
    const int runners = (DecideAdmission(a, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive) +
                        (DecideAdmission(b, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive) +
                        (DecideAdmission(c, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive);
    CHECK(runners == 1);
  }
}

// Guards against a second crash that counts as the first on other nodes.
TEST_CASE("quarantine: two crashes refuse the request everywhere") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto first = OnWorkerCrash(a, {kBad}, 1, {"b", "c"}, kNow);
  const auto second = OnWorkerCrash(b, {kBad}, 2, {"a", "c"}, kNow);
  Deliver(second, c);
  Deliver(first, c);
  Deliver(first, b);
  Deliver(second, a);
  CHECK(DecideAdmission(a, kBad, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(b, kBad, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(c, kBad, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(c, kBad, kNow + absl::Minutes(11)) ==
        QuarantineDecision::kAllow);
}

// Guards against a report that counts twice when it arrives twice.
TEST_CASE("quarantine: a repeated report counts once") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  const auto reports = OnWorkerCrash(a, {kBad}, 1, {"b"}, kNow);
  Deliver(reports, b);
  Deliver(reports, b);
  CHECK(DecideAdmission(b, kBad, kNow) == QuarantineDecision::kAllowExclusive);
}

// Guards against innocent requests that are refused later.
TEST_CASE("quarantine: a completed suspect is cleared on all nodes") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  Deliver(OnWorkerCrash(a, {kBad}, 1, {"b"}, kNow), b);
  const auto cleared = OnCompleted(b, kBad, kNow);
  REQUIRE(cleared.has_value());
  Deliver({*cleared}, a);
  CHECK(DecideAdmission(a, kBad, kNow) == QuarantineDecision::kAllow);
  CHECK(DecideAdmission(b, kBad, kNow) == QuarantineDecision::kAllow);
}

// Guards against suspects that nobody may run when their runner is lost.
TEST_CASE("quarantine: a runner that cannot run hands its suspects over") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto reports = OnWorkerCrash(a, {kBad}, 1, {"b", "c"}, kNow);
  Deliver(reports, b);
  Deliver(reports, c);
  REQUIRE(DecideAdmission(b, kBad, kNow) ==
          QuarantineDecision::kAllowExclusive);
  const auto moved = ReassignSuspects(b, "b", 0, {"a", "c"}, kNow);
  Deliver(moved, a);
  Deliver(moved, c);
  // The older report arrives late.
  Deliver(reports, c);
  CHECK(DecideAdmission(b, kBad, kNow) == QuarantineDecision::kOtherVm);
  CHECK(
      (DecideAdmission(a, kBad, kNow) == QuarantineDecision::kAllowExclusive) !=
      (DecideAdmission(c, kBad, kNow) == QuarantineDecision::kAllowExclusive));
}

// Guards against a common body that is refused because two workers died for
// another reason.
TEST_CASE("quarantine: a request that has just completed is no suspect") {
  QuarantineState a = Node("a");
  OnCompleted(a, kBad, kNow);
  CHECK(OnWorkerCrash(a, {kBad}, 1, {"b"}, kNow).empty());
  CHECK(DecideAdmission(a, kBad, kNow) == QuarantineDecision::kAllow);
  CHECK(OnWorkerCrash(a, {kBad}, 2, {"b"}, kNow).size() == 1);
}

// Guards against memory that grows with the number of crashes.
TEST_CASE("quarantine: at the bound suspects give way, refusals stay") {
  QuarantineState a = Node("a");
  a.settings.max_entries = 2;
  OnWorkerCrash(a, {1}, 1, {}, kNow);
  OnWorkerCrash(a, {1}, 2, {}, kNow);
  OnWorkerCrash(a, {2, 3}, 3, {}, kNow);
  CHECK(a.suspects.size() == 2);
  CHECK(DecideAdmission(a, 1, kNow) == QuarantineDecision::kReject);
}

}  // namespace
}  // namespace boragepaddle::quarantine
