#include "boragepaddle/node/egress.h"

#include <doctest/doctest.h>

#include <variant>

#include "boragepaddle/node/egress_request.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle::node {
namespace {

using schema::CallClass;
using schema::Outcome;
using schema::Reason;

constexpr absl::string_view kTicket =
    "t1.0000000000000007.0000000000000001.0000000000000000."
    "00000000000000000000000000000000.vm-1";

/// A call to a service with three upstreams.
struct Scene {
  EgressSettings settings{kHere, EgressPolicy::kFull};
  ServiceState service;
  EgressCall call;
  uint64_t random = 1;

  Scene() {
    routing::SetUpstreams(this->service.routes, kHere, MakeVms(3), kStart);
    this->NewCall(CallClass::kMember);
  }
  void NewCall(CallClass call_class) {
    this->call = EgressCall();
    this->call.service = "catalogue";
    this->call.operation = "read";
    this->call.call_class = call_class;
    this->call.deadline = At(100000);
    this->call.tokens.remaining = 2;
  }
  EgressAction Begin(int ms) {
    return BeginCall(this->call, this->service, this->settings, At(ms),
                     this->random++);
  }
  EgressAction Answer(const schema::CallAnswer& answer, int ms) {
    return OnAttemptAnswer(this->call, this->service, this->settings, answer,
                           At(ms), this->random++);
  }
  EgressAction Lose(AttemptLoss loss, int ms) {
    return OnAttemptLoss(this->call, this->service, this->settings, loss,
                         At(ms), this->random++);
  }
};

FinishCall Finished(const EgressAction& action) {
  REQUIRE(std::holds_alternative<FinishCall>(action));
  return std::get<FinishCall>(action);
}

std::string SentTo(const EgressAction& action) {
  REQUIRE(std::holds_alternative<SendAttempt>(action));
  return std::get<SendAttempt>(action).upstream.vm_id;
}

schema::CallAnswer Refusal(uint32_t level) {
  auto answer = MakeAnswer(Outcome::kNotRun, Reason::kOverloaded, level);
  answer.tokens_left = 1;
  return answer;
}

// Guards against giving up a member's call while another upstream still admits
// less important work (R2).
TEST_CASE("egress: a refused call goes to the other upstreams without tokens") {
  Scene scene;
  std::set<std::string> tried{SentTo(scene.Begin(0))};
  tried.insert(SentTo(scene.Answer(Refusal(0), 1)));
  tried.insert(SentTo(scene.Answer(Refusal(0), 2)));
  CHECK(tried.size() == 3);
  CHECK(scene.call.tokens.remaining + scene.call.delegated == 2);
  const FinishCall finish = Finished(scene.Answer(Refusal(0), 3));
  CHECK(finish.outcome == Outcome::kNotRun);
  CHECK(finish.reason == Reason::kOverloaded);
  CHECK(finish.tokens_left == 2);
}

// Guards against retries of refused bulk calls that multiply the load by the
// subset size.
TEST_CASE("egress: an unimportant call is tried twice unless one admits it") {
  Scene scene;
  scene.NewCall(CallClass::kBulk);
  SentTo(scene.Begin(0));
  SentTo(scene.Answer(Refusal(0), 1));
  CHECK(Finished(scene.Answer(Refusal(0), 2)).outcome == Outcome::kNotRun);
}

// Guards against reporting "not run" after an attempt that may have run (R4).
TEST_CASE("egress: after an unknown attempt the call never ends not run") {
  Scene scene;
  scene.call.rule.retry_on_unknown = true;
  SentTo(scene.Begin(0));
  CHECK(std::holds_alternative<WaitUntil>(
      scene.Lose(AttemptLoss::kConnectionLost, 1)));
  OnWaitOver(scene.call, scene.service, scene.settings, At(20), 5);
  const FinishCall finish = Finished(
      scene.Answer(MakeAnswer(Outcome::kNotRun, Reason::kQuarantined), 21));
  CHECK(finish.outcome == Outcome::kUnknown);
}

TEST_CASE(
    "egress: an unknown outcome is not retried without rule, token or caller") {
  Scene scene;
  SentTo(scene.Begin(0));
  CHECK(Finished(scene.Lose(AttemptLoss::kTimeout, 1)).outcome ==
        Outcome::kUnknown);
  scene.NewCall(CallClass::kMember);
  scene.call.rule.retry_on_unknown = true;
  scene.call.tokens.remaining = 0;
  SentTo(scene.Begin(2));
  CHECK(Finished(scene.Lose(AttemptLoss::kTimeout, 3)).reason ==
        Reason::kTimeout);
  scene.NewCall(CallClass::kMember);
  scene.call.rule.retry_on_unknown = true;
  SentTo(scene.Begin(4));
  CHECK(Finished(scene.Lose(AttemptLoss::kCallerGone, 5)).reason ==
        Reason::kSenderGone);
}

// Guards against a second execution of an at-most-once child call (R5), even
// with a wrong rule.
TEST_CASE("egress: an at-most-once child is never resent after unknown") {
  Scene scene;
  scene.call.child = true;
  scene.call.rule.at_most_once = true;
  scene.call.rule.retry_on_unknown = true;
  SentTo(scene.Begin(0));
  CHECK(Finished(scene.Lose(AttemptLoss::kConnectionLost, 1)).outcome ==
        Outcome::kUnknown);
}

TEST_CASE("egress: an at-most-once call without a ticket only gets a ticket") {
  Scene scene;
  scene.call.rule.at_most_once = true;
  REQUIRE(std::holds_alternative<AskTicket>(scene.Begin(0)));
  // If a node does not answer, another one is asked.
  REQUIRE(std::holds_alternative<AskTicket>(
      scene.Lose(AttemptLoss::kTimeout, 300)));
  schema::TicketGrant grant;
  grant.ticket = std::string(kTicket);
  const FinishCall finish = Finished(OnTicketGrant(
      scene.call, scene.service, scene.settings, grant, At(301), 3));
  CHECK(finish.outcome == Outcome::kNotRun);
  CHECK(finish.reason == Reason::kTicketNeeded);
  CHECK(finish.ticket == kTicket);
}

void MakeTicketed(Scene& scene) {
  scene.NewCall(CallClass::kMember);
  scene.call.rule.at_most_once = true;
  scene.call.ticket = std::string(kTicket);
}

// Guards against a second execution at another upstream, and against a false
// "not run" (R5).
TEST_CASE("egress: a ticket goes only to its incarnation") {
  Scene scene;
  MakeTicketed(scene);
  CHECK(SentTo(scene.Begin(0)) == "vm-1");
  CHECK(Finished(scene.Lose(AttemptLoss::kNotSent, 1)).outcome ==
        Outcome::kUnknown);
  MakeTicketed(scene);
  SentTo(scene.Begin(2));
  auto answer = Refusal(0);
  answer.incarnation = 7;
  CHECK(Finished(scene.Answer(answer, 3)).outcome == Outcome::kNotRun);
  MakeTicketed(scene);
  SentTo(scene.Begin(4));
  answer.incarnation = 8;
  const FinishCall other = Finished(scene.Answer(answer, 5));
  CHECK(other.outcome == Outcome::kUnknown);
  CHECK(other.reason == Reason::kIncarnationGone);
  routing::OnHello(scene.service.routes, kHere, MakeHello("vm-1", 8), At(6));
  MakeTicketed(scene);
  CHECK(Finished(scene.Begin(7)).reason == Reason::kIncarnationGone);
  scene.call.ticket = "forged";
  scene.call.maybe_run = false;
  const FinishCall forged = Finished(scene.Begin(8));
  // Guards against "not run" for a corrupted ticket whose request has run (R4).
  CHECK(forged.outcome == Outcome::kUnknown);
  CHECK(forged.reason == Reason::kTicketInvalid);
}

// Guards against wasted work in a call chain whose deepest service refuses the
// class.
TEST_CASE(
    "egress: the entry briefly throttles what a downstream service refuses") {
  Scene scene;
  auto failed = MakeAnswer(Outcome::kCompleted);
  failed.status = 502;
  failed.refused_below = true;
  SentTo(scene.Begin(0));
  CHECK(Finished(scene.Answer(failed, 10)).refused);
  scene.NewCall(CallClass::kMember);
  CHECK(Finished(scene.Begin(11)).outcome == Outcome::kNotRun);
  // Another operation of the service does not call the refusing one.
  scene.NewCall(CallClass::kMember);
  scene.call.operation = "check";
  SentTo(scene.Begin(12));
  scene.NewCall(CallClass::kMember);
  SentTo(scene.Begin(311));
}

// Guards against refusing a whole service, or trying one upstream after
// another, because a service that one of its operations calls is overloaded.
TEST_CASE(
    "egress: a refusal by a downstream service throttles the operation only") {
  Scene scene;
  SentTo(scene.Begin(0));
  const FinishCall finish = Finished(
      scene.Answer(MakeAnswer(Outcome::kNotRun, Reason::kRefusedBelow), 1));
  CHECK(finish.outcome == Outcome::kNotRun);
  CHECK(finish.refused);
  CHECK_FALSE(PassesGates(scene.service, "read", CallClass::kMember, At(2), 1));
  CHECK(PassesGates(scene.service, "check", CallClass::kMember, At(2), 1));
}

// Guards against an entry node that still throttles a class while an upstream
// admits it and other entry nodes send less important work.
TEST_CASE(
    "egress: a recent report of capacity overrides the service throttle") {
  Scene scene;
  scene.NewCall(CallClass::kStandard);
  SentTo(scene.Begin(0));
  auto answer = MakeAnswer(Outcome::kCompleted);
  answer.admission_level = 4;
  Finished(scene.Answer(answer, 5));
  OnRefused(scene.service.throttle, CallClass::kMember, At(5));
  CHECK(PassesGates(scene.service, "read", CallClass::kStandard, At(6), 1));
  // The report has expired.
  CHECK_FALSE(
      PassesGates(scene.service, "read", CallClass::kStandard, At(200), 1));
}

// Guards against wasting a parent's work because its child call is throttled at
// the next hop.
TEST_CASE("egress: child calls are not throttled") {
  Scene scene;
  OnRefused(scene.service.throttle, CallClass::kMember, At(0));
  scene.NewCall(CallClass::kBulk);
  CHECK(Finished(scene.Begin(1)).reason == Reason::kOverloaded);
  scene.NewCall(CallClass::kBulk);
  scene.call.child = true;
  SentTo(scene.Begin(2));
}

// Guards against a sender that gives up before the upstream's answer arrives.
TEST_CASE("egress: the upstream's deadline is earlier by a margin") {
  Scene scene;
  scene.call.deadline = At(100);
  const EgressAction action = scene.Begin(0);
  CHECK(std::get<SendAttempt>(action).request.deadline_us == 90000);
  CHECK(std::get<SendAttempt>(action).give_up_at == At(100));
  CHECK(AnswerMargin(absl::Seconds(2)) == absl::Milliseconds(25));
}

TEST_CASE("egress: no attempt without time for the fastest answer") {
  Scene scene;
  for (int i = 0; i < 10; ++i) {
    scene.NewCall(CallClass::kMember);
    SentTo(scene.Begin(i));
    scene.Answer(MakeAnswer(Outcome::kCompleted), i + 30);
  }
  scene.NewCall(CallClass::kMember);
  scene.call.deadline = At(70);
  CHECK(Finished(scene.Begin(45)).reason == Reason::kDeadline);
  scene.call.deadline = At(80);
  SentTo(scene.Begin(45));
}

TEST_CASE("egress: baseline policies make one and four attempts") {
  for (const auto& [policy, expected] :
       {std::pair{EgressPolicy::kOff, 1}, {EgressPolicy::kPerHopRetries, 4}}) {
    Scene scene;
    scene.settings.policy = policy;
    int attempts = 0;
    EgressAction action = scene.Begin(0);
    while (std::holds_alternative<SendAttempt>(action)) {
      ++attempts;
      action = scene.Answer(Refusal(0), attempts);
    }
    CHECK(attempts == expected);
  }
}

}  // namespace
}  // namespace boragepaddle::node
