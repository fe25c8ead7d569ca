#include "tests/unit/ingress_session.h"

#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boragepaddle/base/stable_hash.h"
#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {

namespace {

using Words = std::vector<std::string>;

std::string Argument(const Words& words,
                     const std::string& name,
                     const std::string& fallback = "") {
  for (const std::string& word : words) {
    if (absl::StartsWith(word, name + "=")) {
      return word.substr(name.size() + 1);
    }
  }
  return fallback;
}

int64_t Number(absl::string_view text) {
  int64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

int64_t Number(const Words& words, const std::string& name, int64_t fallback) {
  return Number(Argument(words, name, absl::StrCat(fallback)));
}

CallKey Key(absl::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '-');
  return {static_cast<uint64_t>(Number(parts[0])),
          static_cast<uint64_t>(Number(parts[1]))};
}

std::string Name(CallKey key) {
  return absl::StrCat(key.link_id, "-", key.attempt_id);
}

struct Describe {
  std::string operator()(const RunCall& run) const {
    return "run " + Name(run.key);
  }
  std::string operator()(const AnswerCall& action) const {
    const schema::CallAnswer& answer = action.answer;
    std::string text = absl::StrCat(
        "answer ", Name(action.key), " ", ToString(answer.outcome), " ",
        ToString(answer.reason), " level=", answer.admission_level);
    if (answer.outcome == schema::Outcome::kCompleted) {
      absl::StrAppend(&text, " status=", answer.status, " body=", answer.body);
    }
    return text;
  }
  std::string operator()(const CancelRunningCall& cancel) const {
    return "cancel " + Name(cancel.key);
  }
  std::string operator()(const GrantTicket& action) const {
    return absl::StrCat("grant ", action.link_id, "-", action.grant.attempt_id,
                        " ", ToString(action.grant.outcome), " ",
                        ToString(action.grant.reason));
  }
  std::string operator()(const ReportCrash& action) const {
    std::string text = absl::StrCat("report crash=", action.crash);
    for (const schema::CrashReport& report : action.reports) {
      absl::StrAppend(&text, " crashes=", report.crashes,
                      " runner=", report.runner, " handover=", report.handover);
    }
    return text;
  }
  std::string operator()(const ProbeWorker&) const { return "probe"; }
};

class Session {
 public:
  explicit Session(const Words& words) {
    IngressSettings settings;
    settings.vm_id = "a";
    settings.service = "ledger";
    settings.incarnation = 7;
    settings.slots = static_cast<uint32_t>(Number(words, "slots", 1));
    settings.max_queue = static_cast<uint32_t>(Number(words, "queue", 2));
    settings.worker_accepts_cancel = Number(words, "cancel", 0) != 0;
    this->state = MakeIngress(settings);
    const std::string peers = Argument(words, "peers");
    if (!peers.empty()) {
      this->state.peers = absl::StrSplit(peers, ',');
    }
  }

  IngressActions Play(const Words& words) {
    const absl::Time now = Time(Number(words[0]));
    const std::string& event = words[1];
    const std::string target = words.size() > 2 ? words[2] : "";
    if (event == "call") {
      return this->Call(words, now);
    }
    if (event == "begin") {
      return this->Begin(Key(target), now);
    }
    if (event == "end") {
      return this->End(words, now);
    }
    if (event == "ticket") {
      return this->Grant(words, now);
    }
    if (event == "cancel") {
      return OnCancel(this->state, Key(target), now);
    }
    if (event == "close") {
      return OnLinkClosed(this->state, static_cast<uint64_t>(Number(target)),
                          now);
    }
    if (event == "probe") {
      return OnWorkerProbe(this->state, target == "up", now);
    }
    if (event == "confirm" || event == "unreachable") {
      return OnReportResult(this->state, static_cast<uint64_t>(Number(target)),
                            words[3], event == "confirm", now);
    }
    if (event == "tick") {
      return OnTick(this->state, now);
    }
    return this->Other(words, now);
  }

 private:
  static absl::Time Time(int64_t milliseconds) {
    return absl::UnixEpoch() + absl::Hours(1) +
           absl::Milliseconds(milliseconds);
  }

  IngressActions Other(const Words& words, absl::Time now) {
    if (words[1] == "link") {
      const int64_t sent = Number(words, "sent", Number(words[0]));
      OnLinkOpen(this->state, static_cast<uint64_t>(Number(words[2])),
                 absl::ToUnixMicros(Time(sent)), now);
    } else if (words[1] == "leave") {
      StartLeaving(this->state);
    } else if (words[1] == "report") {
      schema::CrashReport report;
      report.service = "ledger";
      report.fingerprint = Fingerprint(words);
      report.crashes = static_cast<uint32_t>(Number(words, "crashes", 1));
      report.crash_id = static_cast<uint64_t>(Number(words, "id", 99));
      report.runner = Argument(words, "runner");
      report.expiry_us = 60'000'000;
      return OnCrashReport(this->state, report, now);
    }
    return {};
  }

  static uint64_t Fingerprint(const Words& words) {
    return base::StableHash({Argument(words, "body", "x")});
  }

  IngressActions Call(const Words& words, absl::Time now) {
    schema::CallRequest request;
    const CallKey key = Key(words[2]);
    request.attempt_id = key.attempt_id;
    request.service = "ledger";
    request.operation = Argument(words, "op", "post");
    schema::FromString(Argument(words, "class", "standard"),
                       &request.call_class);
    request.deadline_us = Number(words, "deadline", 1000) * 1000;
    request.depth = static_cast<uint32_t>(Number(words, "depth", 0));
    request.fingerprint = Fingerprint(words);
    const int64_t sent = Number(words, "sent", Number(words[0]));
    request.sent_at_us = absl::ToUnixMicros(Time(sent));
    const std::string ticket = Argument(words, "ticket");
    const auto known = this->tickets.find(ticket);
    request.ticket = known == this->tickets.end() ? ticket : known->second;
    CallRule rule;
    rule.idempotent = Number(words, "idempotent", 0) != 0;
    return OnCallRequest(this->state, key.link_id, request, rule, now);
  }

  IngressActions Begin(CallKey key, absl::Time now) {
    IngressActions actions;
    this->begun = BeginRun(this->state, key, now, actions) != nullptr;
    return actions;
  }

  IngressActions End(const Words& words, absl::Time now) {
    const std::map<std::string, WorkerCallEnd> ends = {
        {"answered", WorkerCallEnd::kAnswered},
        {"not_sent", WorkerCallEnd::kNotSent},
        {"broken", WorkerCallEnd::kBroken},
        {"timeout", WorkerCallEnd::kTimeout}};
    WorkerAnswer answer;
    answer.end = ends.at(words[3]);
    answer.status = static_cast<uint32_t>(Number(words, "status", 200));
    answer.body = Argument(words, "body");
    return OnWorkerEnd(this->state, Key(words[2]), std::move(answer), 0, now);
  }

  IngressActions Grant(const Words& words, absl::Time now) {
    const CallKey key = Key(words[2]);
    schema::TicketRequest request;
    request.attempt_id = key.attempt_id;
    request.call_class = schema::CallClass::kMember;
    IngressActions actions =
        OnTicketRequest(this->state, key.link_id, request, now);
    this->tickets[words[3]] = std::get<GrantTicket>(actions[0]).grant.ticket;
    return actions;
  }

  IngressState state;
  std::map<std::string, std::string> tickets;

 public:
  bool begun = false;
};

}  // namespace

std::string ReplayIngress(absl::string_view script) {
  std::string result;
  absl::optional<Session> session;
  for (const absl::string_view line : absl::StrSplit(script, '\n')) {
    if (line.empty() || line[0] == '>') {
      continue;
    }
    absl::StrAppend(&result, line, "\n");
    if (line[0] == '#') {
      continue;
    }
    const Words words = absl::StrSplit(line, ' ', absl::SkipEmpty());
    if (words[0] == "node") {
      session.emplace(words);
      continue;
    }
    session->begun = false;
    const IngressActions actions = session->Play(words);
    if (session->begun) {
      absl::StrAppend(&result, "> begun\n");
    }
    for (const IngressAction& action : actions) {
      absl::StrAppend(&result, "> ", std::visit(Describe{}, action), "\n");
    }
  }
  return result;
}

}  // namespace boragepaddle::node
