#include "boragepaddle/quarantine/crash_ledger.h"

#include <doctest/doctest.h>

#include <vector>

namespace boragepaddle::quarantine {
namespace {

const absl::Time kNow = absl::UnixEpoch();
constexpr uint64_t kCrashing = 4;

CrashLedger Node() {
  CrashLedger ledger;
  ledger.settings.service = "catalogue";
  ledger.settings.vm_id = "local";
  return ledger;
}

schema::WorkerCrash CrashOf(uint64_t crash_id,
                            const std::vector<uint64_t>& suspects) {
  schema::WorkerCrash report;
  report.service = "catalogue";
  report.vm_id = "remote";
  report.crash_id = crash_id;
  report.expiry_us = absl::ToInt64Microseconds(absl::Minutes(1));
  report.suspects = suspects;
  return report;
}

void ApplyCrashes(CrashLedger& ledger,
                  const std::vector<std::vector<uint64_t>>& suspects) {
  uint64_t crash_id = 100;
  for (const std::vector<uint64_t>& crash : suspects) {
    OnCrash(ledger, CrashOf(++crash_id, crash), kNow);
  }
}

void Complete(CrashLedger& ledger, uint64_t fingerprint, int times) {
  for (int i = 0; i < times; ++i) {
    OnCompleted(ledger, fingerprint, kNow);
  }
}

// Guards against a crashing request that is sent on because some workers
// complete it.
TEST_CASE("crash ledger: a few completions do not clear a suspect") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{kCrashing}, {kCrashing}});
  Complete(ledger, kCrashing, 15);
  CHECK(RejectCulprits(ledger, kNow).empty());
  OnCrash(ledger, CrashOf(1, {kCrashing}), kNow);
  CHECK(RejectCulprits(ledger, kNow) == std::vector<uint64_t>{kCrashing});
  CHECK(IsRejected(ledger, kCrashing, kNow));
}

// Guards against refusing a common request that ran beside crashes with another
// cause.
TEST_CASE("crash ledger: many completions on all nodes clear a suspect") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{kCrashing}, {kCrashing}});
  Complete(ledger, kCrashing, 10);
  schema::SuspectCompletions elsewhere;
  elsewhere.service = "catalogue";
  elsewhere.fingerprint = kCrashing;
  elsewhere.count = 6;
  OnSuspectCompletions(ledger, elsewhere);
  CHECK(ledger.suspects.empty());
  OnCrash(ledger, CrashOf(1, {kCrashing}), kNow);
  CHECK(RejectCulprits(ledger, kNow).empty());
}

// Guards against refusing common requests where many other requests crash
// workers, each of them too few to be found.
TEST_CASE("crash ledger: a completion on a VM clears the crashes there") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{5}, {5}});
  OnLocalCrash(ledger, {5}, 1, kNow);
  Complete(ledger, 5, 1);
  CHECK(ledger.suspects.at(5).crashes == 2);
  schema::SuspectCompletions remote;
  remote.service = "catalogue";
  remote.vm_id = "remote";
  remote.fingerprint = 5;
  remote.count = 1;
  OnSuspectCompletions(ledger, remote);
  CHECK(ledger.suspects.empty());
  // A crash after the completion counts.
  OnCrash(ledger, CrashOf(2, {5}), kNow);
  CHECK(ledger.suspects.at(5).crashes == 1);
}

// Guards against refusing requests that were at workers which another request
// crashed.
TEST_CASE("crash ledger: a culprit explains the crashes of its neighbours") {
  CrashLedger ledger = Node();
  ApplyCrashes(
      ledger,
      {{kCrashing, 5}, {kCrashing, 5, 6}, {kCrashing, 6}, {kCrashing, 5, 6}});
  CHECK(RejectCulprits(ledger, kNow) == std::vector<uint64_t>{kCrashing});
  CHECK(ledger.crashes.empty());
  CHECK(ledger.suspects.empty());
  // Copies that already ran crash further workers beside the same neighbours.
  OnCrash(ledger, CrashOf(1, {kCrashing, 5}), kNow);
  OnCrash(ledger, CrashOf(2, {5, 6}), kNow);
  OnCrash(ledger, CrashOf(3, {5, 7}), kNow);
  CHECK(RejectCulprits(ledger, kNow).empty());
  CHECK(ledger.rejections.at(kCrashing).crashes == 5);
}

// Guards against a second crashing request that hides behind a first one.
TEST_CASE("crash ledger: two crashing requests are both rejected") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{kCrashing, 9},
                        {kCrashing},
                        {kCrashing},
                        {kCrashing},
                        {9},
                        {9, 8},
                        {9}});
  CHECK(RejectCulprits(ledger, kNow) == std::vector<uint64_t>{kCrashing, 9});
}

// Guards against a choice between requests that no evidence tells apart: the
// one that crashes workers must not be the one that is let through.
TEST_CASE("crash ledger: requests of the same crashes are rejected together") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{5, kCrashing}, {5, kCrashing}, {5, kCrashing}});
  CHECK(RejectCulprits(ledger, kNow) == std::vector<uint64_t>{kCrashing, 5});
}

// Guards against a redelivered report being counted as another crash, also once
// the crash has been explained.
TEST_CASE("crash ledger: a repeated report counts once") {
  CrashLedger ledger = Node();
  OnCrash(ledger, CrashOf(1, {kCrashing}), kNow);
  OnCrash(ledger, CrashOf(2, {kCrashing}), kNow);
  OnCrash(ledger, CrashOf(1, {kCrashing}), kNow);
  CHECK(RejectCulprits(ledger, kNow).empty());
  OnCrash(ledger, CrashOf(3, {kCrashing, 5}), kNow);
  CHECK(RejectCulprits(ledger, kNow) == std::vector<uint64_t>{kCrashing});
  OnCrash(ledger, CrashOf(3, {kCrashing, 5}), kNow);
  CHECK(ledger.suspects.empty());
}

// Guards against a crashing request that a node runs because it missed the
// reports of the other nodes.
TEST_CASE("crash ledger: a new node learns all from any other") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{kCrashing}, {kCrashing}, {kCrashing}, {7}});
  RejectCulprits(ledger, kNow);
  CrashLedger started = Node();
  for (const auto& report : CrashReports(ledger, kNow)) {
    OnCrash(started, report, kNow);
  }
  for (const auto& report : RejectionReports(ledger, "catalogue", kNow)) {
    CHECK(OnRejection(started, report, kNow));
    CHECK_FALSE(OnRejection(started, report, kNow));
  }
  CHECK(RejectionReports(ledger, "other", kNow).empty());
  CHECK(IsRejected(started, kCrashing, kNow));
  CHECK(started.suspects.at(7).crashes == 1);
}

// Guards against rejecting a frequent request after crashes with another cause.
TEST_CASE("crash ledger: a recently completed request is not a suspect") {
  CrashLedger ledger = Node();
  Complete(ledger, 5, 1);
  CHECK(OnLocalCrash(ledger, {5, kCrashing}, 1, kNow).suspects ==
        std::vector<uint64_t>{kCrashing});
  CHECK(OnLocalCrash(ledger, {5}, 2, kNow).suspects ==
        std::vector<uint64_t>{5});
}

// Guards against suspicions and rejections that never end.
TEST_CASE("crash ledger: evidence and rejections expire") {
  CrashLedger ledger = Node();
  ApplyCrashes(ledger, {{kCrashing}, {kCrashing}, {kCrashing}, {5}, {5}});
  RejectCulprits(ledger, kNow);
  const absl::Time later = kNow + absl::Seconds(61);
  OnCrash(ledger, CrashOf(1, {5}), later);
  CHECK(RejectCulprits(ledger, later).empty());
  CHECK(ledger.suspects.at(5).crashes == 1);
  CHECK(IsRejected(ledger, kCrashing, later));
  Expire(ledger, kNow + absl::Minutes(11));
  CHECK_FALSE(IsRejected(ledger, kCrashing, kNow + absl::Minutes(11)));
  CHECK(ledger.rejections.empty());
  CHECK(ledger.applied.empty());
}

// Guards against memory growing with the number of crashes.
TEST_CASE("crash ledger: full tables forget the oldest entries") {
  CrashLedger ledger = Node();
  ledger.settings.max_crashes = 2;
  ledger.settings.max_suspects = 2;
  ledger.settings.max_rejections = 2;
  for (uint64_t crash_id = 1; crash_id <= 100; ++crash_id) {
    const absl::Time at = kNow + absl::Milliseconds(crash_id);
    OnCrash(ledger, CrashOf(crash_id, {crash_id, crash_id + 1000, 3}), at);
    schema::RequestRejection rejection;
    rejection.fingerprint = crash_id;
    rejection.expiry_us = absl::ToInt64Microseconds(absl::Minutes(1));
    OnRejection(ledger, rejection, at);
  }
  CHECK(ledger.crashes.size() == 2);
  CHECK(ledger.suspects.size() <= 4);
  CHECK(ledger.applied.size() <= 8);
  CHECK(ledger.rejections.size() == 2);
  CHECK(IsRejected(ledger, 100, kNow + absl::Seconds(1)));
}

}  // namespace
}  // namespace boragepaddle::quarantine
