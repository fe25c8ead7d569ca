#include <doctest/doctest.h>

#include "boragepaddle/execution/at_most_once_table.h"

namespace boragepaddle::execution {
namespace {

using schema::Outcome;
using schema::Reason;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr uint64_t kFingerprint = 5;

AtMostOnceTable Table(size_t max_entries = 100, size_t max_bytes = 100) {
  TableSettings settings;
  settings.vm_id = "tw.north-1";
  settings.incarnation = 7;
  settings.max_entries = max_entries;
  settings.max_answer_bytes = max_bytes;
  return MakeTable(settings, TicketSecret{1, 2, 3});
}

BeginResult BeginAt(AtMostOnceTable& table,
                    absl::string_view ticket,
                    absl::Time now = kStart) {
  return Begin(table, ticket, kFingerprint, {1, 1, 0}, now);
}

void Finish(AtMostOnceTable& table, uint64_t sequence, std::string body) {
  StoredAnswer answer;
  answer.outcome = Outcome::kCompleted;
  answer.body = std::move(body);
  Complete(table, sequence, std::move(answer));
}

void CheckAnswer(const BeginResult& result, Outcome outcome, Reason reason) {
  CHECK(result.decision == BeginDecision::kAnswered);
  CHECK(result.answer.outcome == outcome);
  CHECK(result.answer.reason == reason);
}

TEST_CASE("ticket: the text form survives reading, dots in the id included") {
  AtMostOnceTable table = Table();
  const std::string text = IssueTicket(table, kStart);
  const auto ticket = ParseTicket(text);
  REQUIRE(ticket.has_value());
  CHECK(ticket.value().vm_id == "tw.north-1");
  CHECK(ticket.value().incarnation == 7);
  CHECK(FormatTicket(ticket.value()) == text);
}

// Guards against a not-run answer for a request that ran: a changed ticket
// may be a damaged copy of a used one.
TEST_CASE("execution: every damaged ticket is unknown") {
  AtMostOnceTable table = Table();
  const std::string text = IssueTicket(table, kStart);
  for (size_t at = 0; at < text.size(); ++at) {
    std::string damaged = text;
    damaged[at] = damaged[at] == '0' ? '1' : '0';
    CHECK(BeginAt(table, damaged).answer.outcome == Outcome::kUnknown);
    CHECK(BeginAt(table, text.substr(0, at)).answer.outcome ==
          Outcome::kUnknown);
  }
  CHECK(table.entries.empty());
}

// Guards against a second run on a new incarnation of the VM.
TEST_CASE("execution: a ticket of another incarnation is unknown") {
  AtMostOnceTable before = Table();
  const std::string text = IssueTicket(before, kStart);
  AtMostOnceTable after = Table();
  after.settings.incarnation = 8;
  CheckAnswer(BeginAt(after, text), Outcome::kUnknown,
              Reason::kIncarnationGone);
}

// Guards against a false answer for a ticket that comes after its expiry.
TEST_CASE("execution: an expired ticket is not run only if never used") {
  AtMostOnceTable table = Table();
  const std::string used = IssueTicket(table, kStart);
  const std::string unused = IssueTicket(table, kStart);
  Finish(table, BeginAt(table, used).sequence, "a");
  const absl::Time expired = kStart + absl::Minutes(10);
  CheckAnswer(BeginAt(table, used, expired), Outcome::kCompleted,
              Reason::kNone);
  CheckAnswer(BeginAt(table, unused, expired), Outcome::kNotRun,
              Reason::kTicketInvalid);
  Expire(table, kStart + absl::Minutes(11));
  CHECK(table.entries.empty());
  CheckAnswer(BeginAt(table, used, kStart + absl::Minutes(12)),
              Outcome::kUnknown, Reason::kTicketInvalid);
}

// Guards against the eviction of a live entry, and against a refusal that is
// made false by a later resend when there is room again.
TEST_CASE("execution: at the bound a first use is refused for good") {
  AtMostOnceTable table = Table(1);
  const std::string first = IssueTicket(table, kStart);
  const std::string second = IssueTicket(table, kStart);
  const uint64_t sequence = BeginAt(table, first).sequence;
  CheckAnswer(BeginAt(table, second), Outcome::kNotRun, Reason::kTableFull);
  Finish(table, sequence, "a");
  CHECK(BeginAt(table, first).answer.body == "a");
  table.settings.max_entries = 2;
  CheckAnswer(BeginAt(table, second), Outcome::kNotRun, Reason::kTableFull);
  const std::string third = IssueTicket(table, kStart);
  CHECK(BeginAt(table, third).decision == BeginDecision::kExecute);
}

// Guards against a part of an answer, or none, passed off as completed.
TEST_CASE("execution: a body beyond the bound on bytes makes it unknown") {
  AtMostOnceTable table = Table(100, 10);
  const std::string first = IssueTicket(table, kStart);
  const std::string second = IssueTicket(table, kStart);
  Finish(table, BeginAt(table, first).sequence, "123456");
  Finish(table, BeginAt(table, second).sequence, "123456");
  CheckAnswer(BeginAt(table, first), Outcome::kUnknown, Reason::kAnswerNotKept);
  CHECK(BeginAt(table, second).answer.body == "123456");
  CHECK(table.answer_bytes == 6);
}

// Guards against one ticket that answers for two requests.
TEST_CASE("execution: a ticket with another body is unknown") {
  AtMostOnceTable table = Table();
  const std::string text = IssueTicket(table, kStart);
  Finish(table, BeginAt(table, text).sequence, "a");
  CheckAnswer(Begin(table, text, kFingerprint + 1, {1, 1, 0}, kStart),
              Outcome::kUnknown, Reason::kTicketInvalid);
}

// Guards against the removal of an execution that still runs.
TEST_CASE("execution: a pending entry outlives its ticket") {
  AtMostOnceTable table = Table();
  const std::string text = IssueTicket(table, kStart);
  BeginAt(table, text);
  Expire(table, kStart + absl::Hours(1));
  CHECK(BeginAt(table, text, kStart + absl::Hours(1)).decision ==
        BeginDecision::kWait);
}

}  // namespace
}  // namespace boragepaddle::execution
