#include "boragepaddle/recovery/inbound_call_table.h"

#include <doctest/doctest.h>

namespace boragepaddle::recovery {
namespace {

constexpr uint64_t kSender = 77;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

schema::HttpAnswer Answer(uint64_t call_id, size_t bytes = 2) {
  schema::HttpAnswer answer;
  answer.call_id = call_id;
  answer.body = std::string(bytes, 'x');
  return answer;
}

/// Calls 5 and 6 run, 4 was answered, and connection 1 ended at 1 s.
InboundCallTable MakeTable() {
  InboundCallTable table;
  OnConnected(table, kSender, 1);
  for (const uint64_t id : {4, 5, 6}) {
    REQUIRE(OnCall(table, kSender, 1, id));
    OnForwarded(table, kSender, id, 100 + id);
  }
  CHECK(OnAnswer(table, kSender, Answer(4), At(0.9)) == 1);
  OnConnectionClosed(table, 1, At(1));
  return table;
}

TEST_CASE("Calls behind a reset connection go on and are answered") {
  // Guards against 502 for requests whose node knows their outcome.
  InboundCallTable table = MakeTable();
  CHECK(OnAnswer(table, kSender, Answer(5), At(1.01)) == 0);
  OnConnected(table, kSender, 2);
  const ResumeResult result =
      OnResume(table, kSender, std::vector<uint64_t>{4, 5, 6});
  REQUIRE(result.answers.size() == 2);
  CHECK(result.answers[0].call_id == 4);
  CHECK(result.answers[1].call_id == 5);
  CHECK(result.states.never_received.empty());
  CHECK(result.states.unknown.empty());
  CHECK(Expire(table, At(1.2)).empty());
  CHECK(OnAnswer(table, kSender, Answer(6), At(2)) == 2);
}

TEST_CASE("A call that never came is told so, and is not taken later") {
  // "Not run" must stay true when the old connection still holds the call.
  InboundCallTable table = MakeTable();
  OnConnected(table, kSender, 2);
  const ResumeResult result =
      OnResume(table, kSender, std::vector<uint64_t>{6, 9});
  CHECK(result.states.never_received == std::vector<uint64_t>{9});
  CHECK_FALSE(OnCall(table, kSender, 2, 9));
  CHECK_FALSE(OnCall(table, kSender, 1, 10));
  CHECK(OnCall(table, kSender, 2, 10));
}

TEST_CASE("A call whose answer is no longer kept may have run") {
  InboundCallTable table = MakeTable();
  Expire(table, At(1.95));
  OnConnected(table, kSender, 2);
  const ResumeResult result =
      OnResume(table, kSender, std::vector<uint64_t>{4});
  CHECK(result.answers.empty());
  CHECK(result.states.never_received.empty());
  CHECK(result.states.unknown == std::vector<uint64_t>{4});
}

TEST_CASE("Calls of a sender that does not come back are cancelled") {
  // Clients of a dead node must not keep workers busy.
  InboundCallTable table = MakeTable();
  CHECK(Expire(table, At(1.3)).empty());
  CHECK(Expire(table, At(1.4)).size() == 2);
  CHECK(Expire(table, At(1.5)).empty());
}

TEST_CASE("A second frame with the id of a call is not taken") {
  InboundCallTable table;
  OnConnected(table, kSender, 1);
  CHECK(OnCall(table, kSender, 1, 4));
  CHECK_FALSE(OnCall(table, kSender, 1, 4));
  CHECK_FALSE(OnCall(table, kSender, 1, 3));
}

TEST_CASE("Kept answers are bounded in bytes over all senders") {
  InboundCallTable table;
  table.settings.max_answer_bytes = 1000;
  for (const uint64_t sender : {1, 2, 3}) {
    OnConnected(table, sender, sender);
    for (uint64_t id = 1; id <= 10; ++id) {
      REQUIRE(OnCall(table, sender, sender, id));
      OnAnswer(table, sender, Answer(id, 200), At(0));
      CHECK(table.answer_bytes <= 1000);
    }
  }
}

TEST_CASE("A cancelled call is known by its worker-side id, once") {
  InboundCallTable table = MakeTable();
  CHECK(OnCancel(table, kSender, 5) == 105);
  CHECK(OnCancel(table, kSender, 5) == 0);
  CHECK(OnCancel(table, kSender, 4) == 0);
}

TEST_CASE("Senders that are gone for long are forgotten") {
  InboundCallTable table = MakeTable();
  Expire(table, At(1000));
  CHECK(table.senders.empty());
  CHECK(table.answer_bytes == 0);
}

}  // namespace
}  // namespace boragepaddle::recovery
