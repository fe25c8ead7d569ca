#include "boragepaddle/admission/admission.h"

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"

namespace boragepaddle::admission {
namespace {

using schema::CallClass;

absl::Time At(int64_t milliseconds) {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

AdmissionCall Call(uint64_t id,
                   CallClass call_class,
                   int64_t at,
                   uint32_t depth = 0) {
  AdmissionCall call;
  call.id = id;
  call.call_class = call_class;
  call.depth = depth;
  call.arrived = At(at);
  call.deadline = At(at + 1000);
  call.cancellable = true;
  return call;
}

/// Actions as text: +id started, -id shed, !id cancelled.
std::string Text(const AdmissionActions& actions) {
  std::string text;
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      absl::StrAppend(&text, "+", start->id, " ");
    } else if (const auto* shed = std::get_if<ShedCall>(&action)) {
      absl::StrAppend(&text, "-", shed->id, " ");
    } else {
      absl::StrAppend(&text, "!", std::get<CancelCall>(action).id, " ");
    }
  }
  return text;
}

AdmissionState MakeState(uint32_t max_queue = 2) {
  AdmissionSettings settings;
  settings.max_queue = max_queue;
  return MakeAdmission(settings);
}

// Guards against shedding a member's call while bulk work is queued.
TEST_CASE("admission: an arrival displaces the least important queued call") {
  AdmissionState state = MakeState();
  CHECK(Text(OnArrival(state, Call(1, CallClass::kBulk, 0), 1, At(0))) ==
        "+1 ");
  OnArrival(state, Call(2, CallClass::kBulk, 0), 1, At(0));
  OnArrival(state, Call(3, CallClass::kInternal, 0), 1, At(0));
  CHECK(Text(OnArrival(state, Call(4, CallClass::kMember, 0), 1, At(0))) ==
        "-2 ");
  CHECK(Text(OnFinished(state, 1, 1, At(1))) == "+4 ");
}

// Guards against an admission level that tells callers a refused class is
// admitted.
TEST_CASE("admission: a refused class is outside the level") {
  AdmissionState state = MakeState(1);
  CHECK(AdmissionLevel(state, 1, At(0)) == 4);
  OnArrival(state, Call(1, CallClass::kInternal, 0), 1, At(0));
  OnArrival(state, Call(2, CallClass::kInternal, 0), 1, At(0));
  CHECK(AdmissionLevel(state, 1, At(0)) == 2);
  CHECK(Text(OnArrival(state, Call(3, CallClass::kInternal, 0), 1, At(0))) ==
        "-3 ");
  // Slots are free again, but less important work must not take them at once.
  OnFinished(state, 1, 1, At(1));
  OnFinished(state, 2, 1, At(2));
  CHECK(AdmissionLevel(state, 1, At(3)) == 2);
  CHECK(Text(OnArrival(state, Call(4, CallClass::kBulk, 3), 1, At(3))) ==
        "-4 ");
  CHECK(AdmissionLevel(state, 1, At(299)) == 2);
  CHECK(AdmissionLevel(state, 1, At(302)) == 3);
  CHECK(AdmissionLevel(state, 1, At(399)) == 3);
  CHECK(AdmissionLevel(state, 1, At(403)) == 4);
}

// Guards against a priority inversion while classes reopen: an entry node that
// does not know yet that a class is open refuses it, while another entry node
// sends less important work.
TEST_CASE("admission: classes reopen one after another") {
  AdmissionState state = MakeState(1);
  OnArrival(state, Call(1, CallClass::kStandard, 0), 2, At(0));
  OnArrival(state, Call(2, CallClass::kStandard, 0), 1, At(0));
  CHECK(Text(OnArrival(state, Call(3, CallClass::kStandard, 0), 1, At(0))) ==
        "-3 ");
  OnFinished(state, 1, 1, At(1));
  OnFinished(state, 2, 4, At(2));
  CHECK(Text(OnArrival(state, Call(4, CallClass::kStandard, 3), 4, At(3))) ==
        "+4 ");
  CHECK(Text(OnArrival(state, Call(5, CallClass::kInternal, 399), 4,
                       At(399))) == "-5 ");
  CHECK(Text(OnArrival(state, Call(6, CallClass::kInternal, 401), 4,
                       At(401))) == "+6 ");
  // Opens one interval after the class before it was last refused.
  CHECK(Text(OnArrival(state, Call(7, CallClass::kBulk, 798), 4, At(798))) ==
        "-7 ");
  CHECK(Text(OnArrival(state, Call(8, CallClass::kBulk, 800), 4, At(800))) ==
        "+8 ");
}

// Guards against losing the work done above a nested call in favour of a new
// request.
TEST_CASE("admission: a nested call displaces a root request of its class") {
  AdmissionState state = MakeState();
  OnArrival(state, Call(1, CallClass::kStandard, 0), 1, At(0));
  OnArrival(state, Call(2, CallClass::kStandard, 0, 1), 1, At(0));
  OnArrival(state, Call(3, CallClass::kStandard, 0), 1, At(0));
  CHECK(Text(OnArrival(state, Call(4, CallClass::kStandard, 0, 2), 1, At(0))) ==
        "-3 ");
  CHECK(Text(OnArrival(state, Call(5, CallClass::kStandard, 0), 1, At(0))) ==
        "-5 ");
  CHECK(Text(OnFinished(state, 1, 1, At(1))) == "+4 ");
}

// Guards against a persistent queue in which every call waits and then fails,
// and against shedding a more important call as early as a less important one.
TEST_CASE(
    "admission: calls beyond the target are shed from a persistent queue") {
  AdmissionState state = MakeState(10);
  OnArrival(state, Call(1, CallClass::kMember, 0), 1, At(0));
  OnArrival(state, Call(2, CallClass::kMember, 0), 1, At(0));
  OnArrival(state, Call(3, CallClass::kBulk, 0), 1, At(0));
  OnArrival(state, Call(4, CallClass::kInternal, 0), 1, At(0));
  CHECK(Text(OnTick(state, 1, At(90))).empty());
  CHECK(Text(OnTick(state, 1, At(101))) == "-3 -4 ");
  CHECK(Text(OnTick(state, 1, At(160))).empty());
  CHECK(Text(OnTick(state, 1, At(161))) == "-2 ");
}

// Guards against a priority inversion by age: bulk work that waits behind a
// member's call must not be kept when that call is shed.
TEST_CASE("admission: shedding an overdue call sheds less important ones too") {
  AdmissionState state = MakeState(10);
  OnArrival(state, Call(1, CallClass::kMember, 0), 1, At(0));
  OnArrival(state, Call(2, CallClass::kMember, 0), 1, At(0));
  OnArrival(state, Call(3, CallClass::kBulk, 159), 1, At(159));
  CHECK(Text(OnTick(state, 1, At(161))) == "-3 -2 ");
}

// Guards against starting work that cannot finish before its deadline.
TEST_CASE(
    "admission: a call with less time left than its service time is shed") {
  AdmissionState state = MakeState();
  AdmissionCall call = Call(1, CallClass::kMember, 0);
  call.min_service = absl::Milliseconds(1001);
  CHECK(Text(OnArrival(state, call, 1, At(0))) == "-1 ");
  CHECK(AdmissionLevel(state, 1, At(0)) == 4);
}

// Guards against cancelling equally or more important work.
TEST_CASE("admission: only less important running work is cancelled") {
  AdmissionSettings settings;
  settings.max_queue = 1;
  settings.worker_accepts_cancel = true;
  AdmissionState state = MakeAdmission(settings);
  OnArrival(state, Call(1, CallClass::kMember, 0), 2, At(0));
  OnArrival(state, Call(2, CallClass::kBulk, 0), 2, At(0));
  OnArrival(state, Call(3, CallClass::kMember, 0), 2, At(0));
  CHECK(Text(OnArrival(state, Call(4, CallClass::kMember, 0), 2, At(0))) ==
        "!2 ");
  CHECK(Text(OnArrival(state, Call(5, CallClass::kMember, 0), 2, At(0))) ==
        "-5 ");
}

}  // namespace
}  // namespace boragepaddle::admission
