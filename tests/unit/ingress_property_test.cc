#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "boragepaddle/node/ingress.h"

namespace boragepaddle::node {
namespace {

using schema::Outcome;
using schema::Reason;

constexpr uint32_t kSlots = 3;
constexpr uint64_t kLinks = 4;
constexpr int kEvents = 4000;
constexpr absl::Duration kHold = absl::Milliseconds(300);

/// Applies random events to a node and checks the invariants after each.
class RandomRun {
 public:
  explicit RandomRun(uint32_t seed) : random(seed) {
    IngressSettings settings;
    settings.vm_id = "a";
    settings.service = "ledger";
    settings.slots = kSlots;
    settings.max_queue = 4;
    settings.worker_accepts_cancel = seed % 2 == 0;
    this->state = MakeIngress(settings);
    this->state.peers = {"b", "c"};
    for (uint64_t link = 1; link <= kLinks; ++link) {
      OnLinkOpen(this->state, link, this->SentNow(), this->now);
    }
  }

  void Run() {
    for (int event = 0; event < kEvents; ++event) {
      this->now += absl::Microseconds(this->Pick(3000));
      this->Step();
      CHECK(this->begun.size() <= kSlots);
    }
    this->Drain();
    CHECK(this->answered == this->sent);
  }

 private:
  uint64_t Pick(uint64_t bound) { return this->random() % bound; }

  int64_t SentNow() const { return absl::ToUnixMicros(this->now); }

  void Step() {
    switch (this->Pick(16)) {
      case 0:
        return this->Handle(OnTick(this->state, this->now));
      case 1:
        return this->CancelOne();
      case 2:
        return this->Grant();
      case 3:
        return this->Report();
      case 4:
        return this->Probe();
      case 5:
      case 6:
      case 7:
      case 8:
        return this->EndOne();
      default:
        return this->Call();
    }
  }

  void Call() {
    schema::CallRequest request;
    const CallKey key{1 + this->Pick(kLinks), this->next_attempt++};
    request.attempt_id = key.attempt_id;
    request.operation = "post";
    request.call_class = static_cast<schema::CallClass>(this->Pick(4));
    request.depth = static_cast<uint32_t>(this->Pick(3));
    request.deadline_us = static_cast<int64_t>(this->Pick(150000));
    request.fingerprint = this->Pick(200);
    request.sent_at_us = this->SentNow();
    if (!this->tickets.empty() && this->Pick(3) == 0) {
      const size_t at = this->Pick(this->tickets.size());
      request.ticket = this->tickets[at];
      // Each ticket is used for one request only.
      request.fingerprint = 1000 + at;
    }
    CallRule rule;
    rule.idempotent = request.ticket.empty();
    this->requests[key] = request;
    ++this->sent;
    this->Handle(
        OnCallRequest(this->state, key.link_id, request, rule, this->now));
  }

  void Grant() {
    schema::TicketRequest request;
    for (const IngressAction& action :
         OnTicketRequest(this->state, 1, request, this->now)) {
      const auto& grant = std::get<GrantTicket>(action).grant;
      if (grant.outcome == Outcome::kCompleted) {
        this->tickets.push_back(grant.ticket);
      }
    }
  }

  void Report() {
    schema::CrashReport report;
    report.service = "ledger";
    report.fingerprint = this->Pick(200);
    report.crashes = 1 + this->Pick(2);
    report.crash_id = this->Pick(1000);
    report.runner = this->Pick(2) == 0 ? "a" : "b";
    report.expiry_us = 300000;
    this->Handle(OnCrashReport(this->state, report, this->now));
  }

  void Probe() {
    if (this->probing) {
      this->probing = false;
      this->Handle(OnWorkerProbe(this->state, this->Pick(4) != 0, this->now));
    }
  }

  void CancelOne() {
    const CallKey key{1 + this->Pick(kLinks),
                      this->next_attempt - this->Pick(10)};
    this->Handle(OnCancel(this->state, key, this->now));
  }

  void EndOne() {
    if (!this->handed.empty()) {
      this->BeginNext();
    } else if (!this->begun.empty()) {
      auto key = this->begun.begin();
      std::advance(key, this->Pick(this->begun.size()));
      this->End(*key);
    }
  }

  void BeginNext() {
    const CallKey key = this->handed.front();
    this->handed.erase(this->handed.begin());
    IngressActions actions;
    if (BeginRun(this->state, key, this->now, actions) != nullptr) {
      CHECK(this->requests[key].deadline_us > 0);
      this->begun.insert(key);
    }
    this->Handle(std::move(actions));
  }

  void End(CallKey key) {
    this->begun.erase(key);
    WorkerAnswer answer;
    const uint64_t end = this->Pick(20);
    answer.end = end == 0   ? WorkerCallEnd::kBroken
                 : end == 1 ? WorkerCallEnd::kNotSent
                 : end == 2 ? WorkerCallEnd::kTimeout
                            : WorkerCallEnd::kAnswered;
    if (answer.end != WorkerCallEnd::kNotSent) {
      this->ran.insert(key);
      const std::string& ticket = this->requests[key].ticket;
      if (!ticket.empty()) {
        CHECK(this->ran_tickets.insert(ticket).second);
        CHECK(this->refused_tickets.count(ticket) == 0);
      }
    }
    this->Handle(OnWorkerEnd(this->state, key, answer, 0, this->now));
  }

  void Drain() {
    for (int round = 0; round < 2000; ++round) {
      this->now += absl::Milliseconds(5);
      this->EndOne();
      this->Probe();
      this->Handle(OnTick(this->state, this->now));
    }
    CHECK(IsDrained(this->state));
  }

  void Handle(IngressActions actions) {
    for (const IngressAction& action : actions) {
      if (const auto* run = std::get_if<RunCall>(&action)) {
        this->CheckStart(run->key);
        this->handed.push_back(run->key);
      } else if (const auto* answer = std::get_if<AnswerCall>(&action)) {
        this->CheckAnswer(*answer);
      } else if (std::holds_alternative<ProbeWorker>(action)) {
        this->probing = true;
      } else if (const auto* report = std::get_if<ReportCrash>(&action)) {
        this->Confirm(*report);
      }
    }
  }

  void Confirm(const ReportCrash& report) {
    for (const std::string& peer : this->state.peers) {
      if (this->Pick(2) == 0) {
        this->Handle(OnReportResult(this->state, report.crash, peer,
                                    this->Pick(4) != 0, this->now));
      }
    }
  }

  void CheckStart(CallKey key) {
    const schema::CallRequest& request = this->requests[key];
    for (uint32_t index = 0; index < schema::kCallClassCount; ++index) {
      const bool less_important =
          static_cast<uint32_t>(request.call_class) > index;
      if (less_important) {
        CHECK(this->now >= this->last_shed_at[index] + kHold);
      }
    }
  }

  void CheckAnswer(const AnswerCall& action) {
    ++this->answered;
    CHECK(this->answers.insert(action.key).second);
    const schema::CallRequest& request = this->requests[action.key];
    const schema::CallAnswer& answer = action.answer;
    const auto index = static_cast<uint32_t>(request.call_class);
    if (answer.outcome == Outcome::kNotRun) {
      CHECK(this->ran.count(action.key) == 0);
      CHECK(this->begun.count(action.key) == 0);
      if (!request.ticket.empty()) {
        CHECK(this->ran_tickets.count(request.ticket) == 0);
        this->refused_tickets.insert(request.ticket);
      }
    }
    const bool shed = answer.reason == Reason::kOverloaded ||
                      answer.reason == Reason::kDisplaced;
    if (shed && request.ticket.empty()) {
      CHECK(answer.admission_level <= index);
      this->last_shed_at[index] = this->now;
    }
  }

  std::mt19937 random;
  IngressState state;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  uint64_t next_attempt = 1;
  std::map<CallKey, schema::CallRequest> requests;
  std::vector<std::string> tickets;
  std::vector<CallKey> handed;
  std::set<CallKey> begun;
  std::set<CallKey> ran;
  std::set<CallKey> answers;
  std::set<std::string> ran_tickets;
  std::set<std::string> refused_tickets;
  absl::Time last_shed_at[schema::kCallClassCount] = {
      absl::InfinitePast(), absl::InfinitePast(), absl::InfinitePast(),
      absl::InfinitePast()};
  uint64_t sent = 0;
  uint64_t answered = 0;
  bool probing = false;
};

// Guards against more running calls than slots, calls that are answered twice
// or never, less important calls started after a more important one was shed, a
// not-run answer for a call or ticket that ran, and a ticket that runs twice.
TEST_CASE("ingress: random events keep the invariants") {
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RandomRun(seed).Run();
  }
}

}  // namespace
}  // namespace boragepaddle::node
