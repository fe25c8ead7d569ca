#include "tests/unit/egress_session.h"

#include <map>
#include <variant>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boragepaddle/routing/random_bits.h"
#include "tests/unit/route_fixture.h"

namespace boragepaddle::node {
namespace {

using Words = std::vector<std::string>;

struct Session {
  EgressSettings settings{kHere, EgressPolicy::kFull};
  ServiceState service;
  std::map<std::string, EgressCall> calls;
  uint64_t random = 0;
};

std::string Value(const Words& words, const std::string& key) {
  for (const std::string& word : words) {
    if (absl::StartsWith(word, key + "=")) {
      return word.substr(key.size() + 1);
    }
  }
  return "";
}

bool Has(const Words& words, const std::string& flag) {
  return std::find(words.begin(), words.end(), flag) != words.end();
}

uint64_t Number(const std::string& text) {
  uint64_t number = 0;
  static_cast<void>(absl::SimpleAtoi(text, &number));
  return number;
}

std::string Describe(const EgressAction& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    return absl::StrCat("send vm=", send->upstream.vm_id,
                        " deadline_us=", send->request.deadline_us,
                        " tokens=", send->request.retry_tokens);
  }
  if (const auto* ask = std::get_if<AskTicket>(&action)) {
    return absl::StrCat("ask vm=", ask->upstream.vm_id);
  }
  if (const auto* wait = std::get_if<WaitUntil>(&action)) {
    return absl::StrCat("wait until_us=",
                        absl::ToInt64Microseconds(wait->when - kStart));
  }
  const auto& finish = std::get<FinishCall>(action);
  return absl::StrCat("finish ", ToString(finish.outcome), " ",
                      ToString(finish.reason), " tokens=", finish.tokens_left,
                      finish.refused ? " refused" : "",
                      finish.ticket.empty() ? "" : " ticket=", finish.ticket);
}

EgressCall NewCall(const Words& words, absl::Time now) {
  EgressCall call;
  call.service = "catalogue";
  call.operation = "read";
  schema::FromString(words[3], &call.call_class);
  call.child = Has(words, "child");
  call.rule.at_most_once = Has(words, "amo");
  call.rule.retry_on_unknown = Has(words, "retry");
  call.ticket = Value(words, "ticket");
  call.tokens.remaining = 2;
  call.deadline = now + absl::Seconds(1);
  return call;
}

schema::CallAnswer NewAnswer(const Words& words) {
  schema::CallAnswer answer = MakeAnswer(schema::Outcome::kCompleted);
  schema::FromString(words[3], &answer.outcome);
  schema::FromString(words[4], &answer.reason);
  const std::string level = Value(words, "level");
  if (!level.empty()) {
    answer.admission_level = static_cast<uint32_t>(Number(level));
  }
  answer.incarnation = Number(Value(words, "incarnation"));
  answer.tokens_left = static_cast<uint32_t>(Number(Value(words, "tokens")));
  answer.refused_below = Has(words, "below");
  answer.status = answer.refused_below ? 502 : 200;
  return answer;
}

EgressAction Apply(Session& session, const Words& words, absl::Time now) {
  const uint64_t random = routing::DeriveBits(session.random++, 11);
  ServiceState& service = session.service;
  if (words[1] == "call") {
    session.calls[words[2]] = NewCall(words, now);
    return BeginCall(session.calls[words[2]], service, session.settings, now,
                     random);
  }
  EgressCall& call = session.calls[words[2]];
  if (words[1] == "answer") {
    return OnAttemptAnswer(call, service, session.settings, NewAnswer(words),
                           now, random);
  }
  if (words[1] == "lost") {
    return OnAttemptLoss(call, service, session.settings,
                         static_cast<AttemptLoss>(Number(words[3])), now,
                         random);
  }
  if (words[1] == "grant") {
    schema::TicketGrant grant;
    grant.ticket = words[3];
    return OnTicketGrant(call, service, session.settings, grant, now, random);
  }
  return OnWaitOver(call, service, session.settings, now, random);
}

}  // namespace

std::string ReplayEgress(absl::string_view text) {
  Session session;
  routing::SetUpstreams(session.service.routes, kHere, MakeVms(3), kStart);
  std::string result;
  const std::vector<std::string> lines =
      absl::StrSplit(text, '\n', absl::SkipEmpty());
  for (const std::string& line : lines) {
    if (absl::StartsWith(line, "  ->")) {
      continue;
    }
    absl::StrAppend(&result, line, "\n");
    if (line[0] == '#') {
      continue;
    }
    const Words words = absl::StrSplit(line, ' ', absl::SkipEmpty());
    const absl::Time now = At(static_cast<int64_t>(Number(words[0])));
    routing::RouteTable& routes = session.service.routes;
    if (words[1] == "leaving") {
      routing::OnLeaving(routes, kHere, words[2], Number(words[3]), now);
    } else if (words[1] == "hello") {
      routing::OnHello(routes, kHere, MakeHello(words[2], Number(words[3])),
                       now);
    } else {
      absl::StrAppend(&result, "  -> ", Describe(Apply(session, words, now)),
                      "\n");
    }
  }
  return result;
}

}  // namespace boragepaddle::node
