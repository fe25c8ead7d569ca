#include "boragepaddle/execution/at_most_once_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragepaddle::execution {

namespace {

using schema::Outcome;
using schema::Reason;

BeginResult MakeAnswered(Outcome outcome, Reason reason) {
  BeginResult result;
  result.answer.outcome = outcome;
  result.answer.reason = reason;
  return result;
}

BeginResult HandleDuplicate(TableEntry& entry,
                            uint64_t sequence,
                            uint64_t fingerprint,
                            const Waiter& waiter) {
  if (entry.fingerprint != fingerprint) {
    // The ticket's request ran or may still run, so a resend of it with a
    // changed body must not be told otherwise.
    return MakeAnswered(Outcome::kUnknown, Reason::kTicketInvalid);
  }
  BeginResult result;
  result.sequence = sequence;
  if (entry.pending) {
    entry.waiters.push_back(waiter);
    result.decision = BeginDecision::kWait;
    return result;
  }
  if (entry.body_dropped) {
    return MakeAnswered(Outcome::kUnknown, Reason::kAnswerNotKept);
  }
  result.answer = entry.answer;
  return result;
}

BeginResult HandleFirstUse(AtMostOnceTable& table,
                           const Ticket& ticket,
                           uint64_t fingerprint) {
  if (ticket.sequence <= table.max_refused_sequence) {
    return MakeAnswered(Outcome::kNotRun, Reason::kTableFull);
  }
  if (table.entries.size() >= table.settings.max_entries) {
    // There is no room to remember this refusal. Older unused tickets are
    // refused with it, so that the answer stays true.
    table.max_refused_sequence = ticket.sequence;
    return MakeAnswered(Outcome::kNotRun, Reason::kTableFull);
  }
  TableEntry& entry = table.entries[ticket.sequence];
  entry.expiry = ticket.expiry;
  entry.fingerprint = fingerprint;
  BeginResult result;
  result.decision = BeginDecision::kExecute;
  result.sequence = ticket.sequence;
  return result;
}

/// Drops the oldest bodies: resends come soon after the first attempt.
void EnforceBodyLimit(AtMostOnceTable& table) {
  while (table.answer_bytes > table.settings.max_answer_bytes) {
    const auto found = table.entries.find(table.bodies.front());
    table.bodies.pop_front();
    if (found == table.entries.end()) {
      continue;
    }
    TableEntry& entry = found->second;
    table.answer_bytes -= entry.answer.body.size();
    entry.answer.body = std::string();
    entry.body_dropped = true;
  }
}

/// Forgets bodies whose entry was removed.
void DropStaleBodies(AtMostOnceTable& table) {
  while (!table.bodies.empty() &&
         !table.entries.contains(table.bodies.front())) {
    table.bodies.pop_front();
  }
}

}  // namespace

AtMostOnceTable MakeTable(const TableSettings& settings,
                          const TicketSecret& secret) {
  AtMostOnceTable table;
  table.settings = settings;
  table.secret = secret;
  return table;
}

std::string IssueTicket(AtMostOnceTable& table, absl::Time now) {
  Ticket ticket;
  ticket.vm_id = table.settings.vm_id;
  ticket.incarnation = table.settings.incarnation;
  ticket.sequence = table.next_sequence++;
  ticket.expiry = now + table.settings.ticket_ttl;
  ticket.mac = ComputeTicketMac(ticket, table.secret);
  return FormatTicket(ticket);
}

BeginResult Begin(AtMostOnceTable& table,
                  absl::string_view ticket,
                  uint64_t fingerprint,
                  const Waiter& waiter,
                  absl::Time now) {
  const auto parsed = ParseTicket(ticket);
  if (!parsed) {
    // It may be a damaged copy of a ticket whose request ran.
    return MakeAnswered(Outcome::kUnknown, Reason::kTicketInvalid);
  }
  const Ticket& named = parsed.value();
  if (named.vm_id != table.settings.vm_id ||
      named.incarnation != table.settings.incarnation) {
    return MakeAnswered(Outcome::kUnknown, Reason::kIncarnationGone);
  }
  if (!HasValidMac(named, table.secret)) {
    return MakeAnswered(Outcome::kUnknown, Reason::kTicketInvalid);
  }
  const auto found = table.entries.find(named.sequence);
  if (found != table.entries.end()) {
    return HandleDuplicate(found->second, named.sequence, fingerprint, waiter);
  }
  if (now < named.expiry) {
    return HandleFirstUse(table, named, fingerprint);
  }
  // No ticket is accepted for the first time after its expiry. A used one
  // above max_removed_sequence would still have its entry.
  const bool unused = named.sequence > table.max_removed_sequence;
  return MakeAnswered(unused ? Outcome::kNotRun : Outcome::kUnknown,
                      Reason::kTicketInvalid);
}

std::vector<Waiter> Complete(AtMostOnceTable& table,
                             uint64_t sequence,
                             StoredAnswer answer) {
  TableEntry& entry = table.entries.at(sequence);
  assert(entry.pending);
  entry.pending = false;
  entry.answer = std::move(answer);
  std::vector<Waiter> waiters = std::move(entry.waiters);
  entry.waiters.clear();
  if (!entry.answer.body.empty()) {
    table.answer_bytes += entry.answer.body.size();
    table.bodies.push_back(sequence);
    EnforceBodyLimit(table);
  }
  return waiters;
}

void RemoveWaiter(AtMostOnceTable& table,
                  uint64_t sequence,
                  const Waiter& waiter) {
  const auto found = table.entries.find(sequence);
  if (found == table.entries.end()) {
    return;
  }
  std::vector<Waiter>& waiters = found->second.waiters;
  const auto same = [&waiter](const Waiter& other) {
    return other.link_id == waiter.link_id &&
           other.attempt_id == waiter.attempt_id;
  };
  waiters.erase(std::remove_if(waiters.begin(), waiters.end(), same),
                waiters.end());
}

bool HasWaiters(const AtMostOnceTable& table, uint64_t sequence) {
  const auto found = table.entries.find(sequence);
  return found != table.entries.end() && !found->second.waiters.empty();
}

void Expire(AtMostOnceTable& table, absl::Time now) {
  // Sequences grow with the expiry, so the oldest entries come first. One
  // that still runs holds back the removal of the later ones.
  while (!table.entries.empty()) {
    const auto first = table.entries.begin();
    const TableEntry& entry = first->second;
    if (entry.pending || now < entry.expiry + table.settings.grace) {
      return;
    }
    table.max_removed_sequence = first->first;
    table.answer_bytes -= entry.answer.body.size();
    table.entries.erase(first);
    DropStaleBodies(table);
  }
}

}  // namespace boragepaddle::execution
