#include "boragepaddle/daemon/attempt_table.h"

#include <doctest/doctest.h>

#include "boragepaddle/transport/clock.h"

namespace boragepaddle::daemon {
namespace {

constexpr uint64_t kLink = 5;

schema::CallAnswer AnswerFor(uint64_t attempt_id, const char* body) {
  schema::CallAnswer answer;
  answer.attempt_id = attempt_id;
  answer.outcome = schema::Outcome::kCompleted;
  answer.body = body;
  return answer;
}

AttemptResult WaitFor(AttemptTable& table, uint64_t attempt_id) {
  return table.Wait(attempt_id, transport::MonotonicNow() + absl::Seconds(1),
                    [] { return true; });
}

// Covers R3: guards against an answer that is delivered to another request.
TEST_CASE("attempts: late, duplicated and foreign answers are dropped") {
  AttemptTable table;
  const uint64_t first = table.Register(kLink);
  CHECK_FALSE(table.OnAnswer(kLink + 1, AnswerFor(first, "foreign")));
  CHECK(table.OnAnswer(kLink, AnswerFor(first, "own")));
  CHECK_FALSE(table.OnAnswer(kLink, AnswerFor(first, "duplicate")));
  CHECK(WaitFor(table, first).answer->body == "own");
  CHECK_FALSE(table.OnAnswer(kLink, AnswerFor(first, "late")));
  const uint64_t second = table.Register(kLink);
  CHECK(second != first);
  CHECK_FALSE(table.OnAnswer(kLink, AnswerFor(first, "later")));
  table.OnLinkClosed(kLink);
  const AttemptResult result = WaitFor(table, second);
  CHECK_FALSE(result.answer.has_value());
  CHECK(result.loss == node::AttemptLoss::kConnectionLost);
  CHECK(table.size() == 0);
}

TEST_CASE(
    "attempts: a caller that disconnects ends the wait before the deadline") {
  AttemptTable table;
  const uint64_t attempt = table.Register(kLink);
  const AttemptResult result =
      table.Wait(attempt, transport::MonotonicNow() + absl::Seconds(60),
                 [] { return false; });
  CHECK(result.loss == node::AttemptLoss::kCallerGone);
}

}  // namespace
}  // namespace boragepaddle::daemon
