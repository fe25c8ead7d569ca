#include "boragepaddle/quarantine/quarantine.h"

#include <doctest/doctest.h>

#include "boragepaddle/quarantine/crash_detector.h"

namespace boragepaddle::quarantine {
namespace {

const absl::Time kNow = absl::UnixEpoch();
constexpr uint64_t kFingerprint = 4;

QuarantineState Node(const std::string& vm_id) {
  QuarantineState state;
  state.settings.service = "catalogue";
  state.settings.vm_id = vm_id;
  return state;
}

/// The connection of a call ends without an answer.
void BreakCall(CrashDetector& detector, uint64_t fingerprint, absl::Time now) {
  OnUnansweredCall(detector, fingerprint, now);
  OnConnectionEnded(detector, now);
}

void Deliver(const std::vector<schema::CrashReport>& reports,
             QuarantineState& to) {
  for (const schema::CrashReport& report : reports) {
    OnCrashReport(to, report, kNow);
  }
}

// Guards against a third worker crash when the caller resends a suspect through
// several nodes at the same time.
TEST_CASE("quarantine: exactly one node may run a suspect") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto reports =
      OnWorkerCrash(a, {kFingerprint, 5, 6}, 1, {"b", "c"}, kNow);
  Deliver(reports, b);
  Deliver(reports, c);
  for (const uint64_t fingerprint : {kFingerprint, uint64_t{5}, uint64_t{6}}) {
    const int runners = (DecideAdmission(a, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive) +
                        (DecideAdmission(b, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive) +
                        (DecideAdmission(c, fingerprint, kNow) ==
                         QuarantineDecision::kAllowExclusive);
    CHECK(runners == 1);
  }
}

// Guards against a node that counts crashes of two VMs as one because their
// reports arrive out of order.
TEST_CASE("quarantine: two crashes refuse the request everywhere") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto first = OnWorkerCrash(a, {kFingerprint}, 1, {"b", "c"}, kNow);
  const auto second = OnWorkerCrash(b, {kFingerprint}, 2, {"a", "c"}, kNow);
  Deliver(second, c);
  Deliver(first, c);
  Deliver(first, b);
  Deliver(second, a);
  CHECK(DecideAdmission(a, kFingerprint, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(b, kFingerprint, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(c, kFingerprint, kNow) == QuarantineDecision::kReject);
  CHECK(DecideAdmission(c, kFingerprint, kNow + absl::Minutes(11)) ==
        QuarantineDecision::kAllow);
}

// Guards against a redelivered report being counted as a second crash.
TEST_CASE("quarantine: a repeated report counts once") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  const auto reports = OnWorkerCrash(a, {kFingerprint}, 1, {"b"}, kNow);
  Deliver(reports, b);
  Deliver(reports, b);
  CHECK(DecideAdmission(b, kFingerprint, kNow) ==
        QuarantineDecision::kAllowExclusive);
}

// Guards against rejecting a request that ran to completion after the crash.
TEST_CASE("quarantine: a completed suspect is cleared on all nodes") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  Deliver(OnWorkerCrash(a, {kFingerprint}, 1, {"b"}, kNow), b);
  const auto cleared = OnCompleted(b, kFingerprint, kNow);
  REQUIRE(cleared.has_value());
  Deliver({*cleared}, a);
  CHECK(DecideAdmission(a, kFingerprint, kNow) == QuarantineDecision::kAllow);
  CHECK(DecideAdmission(b, kFingerprint, kNow) == QuarantineDecision::kAllow);
}

// Guards against suspects that no node may run because their runner is down.
TEST_CASE("quarantine: suspects of an unavailable runner are reassigned") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  QuarantineState c = Node("c");
  const auto reports = OnWorkerCrash(a, {kFingerprint}, 1, {"b", "c"}, kNow);
  Deliver(reports, b);
  Deliver(reports, c);
  REQUIRE(DecideAdmission(b, kFingerprint, kNow) ==
          QuarantineDecision::kAllowExclusive);
  const auto moved = ReassignSuspects(b, "b", 0, {"a", "c"}, kNow);
  Deliver(moved, a);
  Deliver(moved, c);
  // The report from before the reassignment is delivered late.
  Deliver(reports, c);
  CHECK(DecideAdmission(b, kFingerprint, kNow) == QuarantineDecision::kOtherVm);
  CHECK((DecideAdmission(a, kFingerprint, kNow) ==
         QuarantineDecision::kAllowExclusive) !=
        (DecideAdmission(c, kFingerprint, kNow) ==
         QuarantineDecision::kAllowExclusive));
}

// Guards against rejecting a frequent request body after two worker crashes
// with another cause.
TEST_CASE("quarantine: a recently completed request is not a suspect") {
  QuarantineState a = Node("a");
  OnCompleted(a, kFingerprint, kNow);
  CHECK(OnWorkerCrash(a, {kFingerprint}, 1, {"b"}, kNow).empty());
  CHECK(DecideAdmission(a, kFingerprint, kNow) == QuarantineDecision::kAllow);
  CHECK(OnWorkerCrash(a, {kFingerprint}, 2, {"b"}, kNow).size() == 1);
}

// Guards against a crashing request that a node runs because it missed the
// reports of the other nodes.
TEST_CASE("quarantine: a new node learns of rejected requests from any other") {
  QuarantineState a = Node("a");
  QuarantineState b = Node("b");
  Deliver(OnWorkerCrash(a, {kFingerprint}, 1, {}, kNow), b);
  Deliver(OnWorkerCrash(b, {kFingerprint}, 2, {}, kNow), a);
  for (QuarantineState* source : {&a, &b}) {
    QuarantineState started = Node("c");
    Deliver(AllReports(*source, kNow), started);
    CHECK(DecideAdmission(started, kFingerprint, kNow) ==
          QuarantineDecision::kReject);
  }
  // Only the node that reported the last crash repeats its report.
  CHECK(OwnRejections(a, kNow).empty());
  QuarantineState reconnected = Node("d");
  Deliver(OwnRejections(b, kNow), reconnected);
  CHECK(DecideAdmission(reconnected, kFingerprint, kNow) ==
        QuarantineDecision::kReject);
}

// Guards against requests that are refused because the network or the worker
// ended some connections.
TEST_CASE("quarantine: a worker that keeps a connection has not crashed") {
  CrashDetector detector;
  CHECK_FALSE(IsCrashCheckDue(detector, kNow));
  BreakCall(detector, kFingerprint, kNow);
  BreakCall(detector, 5, kNow + absl::Milliseconds(20));
  CHECK_FALSE(IsCrashCheckDue(detector, kNow + absl::Milliseconds(20)));
  absl::Time at = kNow + absl::Milliseconds(50);
  for (; at < kNow + absl::Seconds(1); at += absl::Milliseconds(50)) {
    REQUIRE(IsCrashCheckDue(detector, at));
    CHECK(AdvanceCrashCheck(detector, /*is_older_connection_open=*/true, at) ==
          CrashCheckStep::kWait);
  }
  CHECK(AdvanceCrashCheck(detector, /*is_older_connection_open=*/true, at) ==
        CrashCheckStep::kEnd);
  CHECK(EndCrashCheck(detector, WorkerSign::kOlderConnectionOpen, at).empty());
  BreakCall(detector, kFingerprint, at);
  BreakCall(detector, 5, at);
  at += absl::Milliseconds(50);
  CHECK(AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at) ==
        CrashCheckStep::kProbe);
  CHECK(EndCrashCheck(detector, WorkerSign::kNotAccepting, at) ==
        std::vector<uint64_t>{kFingerprint, 5});
  CHECK_FALSE(IsCrashCheckDue(detector, at + absl::Seconds(1)));
}

// Guards against a crash that goes unnoticed because a connection to the worker
// ends later than the others.
TEST_CASE("quarantine: a crash is found after the last connection has ended") {
  CrashDetector detector;
  BreakCall(detector, kFingerprint, kNow);
  absl::Time at = kNow + absl::Milliseconds(50);
  CHECK(AdvanceCrashCheck(detector, /*is_older_connection_open=*/true, at) ==
        CrashCheckStep::kWait);
  BreakCall(detector, 5, at);
  at += absl::Milliseconds(50);
  REQUIRE(AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at) ==
          CrashCheckStep::kProbe);
  CHECK_FALSE(IsCrashCheckDue(detector, at + absl::Seconds(2)));
  BreakCall(detector, 6, at);
  CHECK_FALSE(IsCrashCheckDue(detector, at + absl::Seconds(2)));
  CHECK(EndCrashCheck(detector, WorkerSign::kNotAccepting, at) ==
        std::vector<uint64_t>{kFingerprint, 5, 6});
}

// Guards against a crash that is not counted against the request which caused
// it, since that request was cancelled before its worker ended.
TEST_CASE("quarantine: a cancelled call is a suspect of the next crash") {
  CrashDetector detector;
  OnUnansweredCall(detector, 7, kNow - absl::Seconds(4));
  OnUnansweredCall(detector, kFingerprint, kNow);
  CHECK_FALSE(IsCrashCheckDue(detector, kNow + absl::Seconds(1)));
  const absl::Time closed = kNow + absl::Seconds(2);
  OnConnectionEnded(detector, closed);
  CHECK_FALSE(IsCrashCheckDue(detector, closed));
  const absl::Time at = closed + absl::Milliseconds(50);
  REQUIRE(AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at) ==
          CrashCheckStep::kProbe);
  CHECK(EndCrashCheck(detector, WorkerSign::kNotAccepting, at) ==
        std::vector<uint64_t>{kFingerprint});
  // Without such calls, a closed connection needs no check.
  OnConnectionEnded(detector, at + absl::Seconds(1));
  CHECK_FALSE(IsCrashCheckDue(detector, at + absl::Seconds(2)));
}

// Guards against a crash that is not counted because the worker was restarted
// before it was probed.
TEST_CASE("quarantine: a new start after unanswered calls shows a crash") {
  CrashDetector detector;
  BreakCall(detector, kFingerprint, kNow);
  EndCrashCheck(detector, WorkerSign::kServing, kNow + absl::Milliseconds(150));
  const absl::Time started = kNow + absl::Milliseconds(30);
  const absl::Time listed = kNow + absl::Seconds(2);
  // Broken calls of the new process are no evidence of the old one's end.
  BreakCall(detector, 5, kNow + absl::Seconds(1));
  CHECK(OnWorkerRestarted(detector, started, listed) ==
        std::vector<uint64_t>{kFingerprint});
  CHECK(OnWorkerRestarted(detector, started, listed).empty());
  // A start long after the calls has another cause.
  BreakCall(detector, kFingerprint, listed);
  EndCrashCheck(detector, WorkerSign::kServing, listed);
  const absl::Time later = listed + absl::Seconds(10);
  CHECK(OnWorkerRestarted(detector, later, later).empty());
}

// Guards against requests that are refused because they met the address of a
// crashed worker, which closes connections before anything runs.
TEST_CASE("quarantine: calls to a closing address are no evidence") {
  CrashDetector detector;
  BreakCall(detector, kFingerprint, kNow);
  absl::Time at = kNow + absl::Milliseconds(50);
  REQUIRE(AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at) ==
          CrashCheckStep::kProbe);
  CHECK(EndCrashCheck(detector, WorkerSign::kClosesConnections, at) ==
        std::vector<uint64_t>{kFingerprint});
  CHECK(detector.is_worker_down);
  BreakCall(detector, 5, at);
  at += absl::Milliseconds(100);
  REQUIRE(AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at) ==
          CrashCheckStep::kProbe);
  CHECK(EndCrashCheck(detector, WorkerSign::kClosesConnections, at).empty());
  at += absl::Milliseconds(100);
  REQUIRE(IsCrashCheckDue(detector, at));
  AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at);
  CHECK(EndCrashCheck(detector, WorkerSign::kServing, at).empty());
  CHECK_FALSE(detector.is_worker_down);
  CHECK_FALSE(IsCrashCheckDue(detector, at + absl::Seconds(1)));
  // The next crash counts again.
  BreakCall(detector, 5, at);
  at += absl::Milliseconds(50);
  AdvanceCrashCheck(detector, /*is_older_connection_open=*/false, at);
  CHECK(EndCrashCheck(detector, WorkerSign::kNotAccepting, at) ==
        std::vector<uint64_t>{5});
}

// Guards against memory growing with the number of crashes.
TEST_CASE("quarantine: a full table evicts suspects before rejected requests") {
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
