#ifndef BORAGEPADDLE_EXECUTION_AT_MOST_ONCE_TABLE_H_
#define BORAGEPADDLE_EXECUTION_AT_MOST_ONCE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/execution/ticket.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::execution {

/// Limits of the table and identity of the node.
struct TableSettings {
  std::string vm_id;
  uint64_t incarnation = 0;
  absl::Duration ticket_ttl = absl::Minutes(10);
  /// Time for which entries are kept after their ticket has expired, so that a
  /// late resend still gets the outcome.
  absl::Duration grace = absl::Minutes(1);
  size_t max_entries = 131072;
  /// Limit on the total size of stored answer bodies.
  size_t max_answer_bytes = size_t{16} << 20;
};

/// Outcome of an execution, returned to duplicates of the request.
struct StoredAnswer {
  schema::Outcome outcome = schema::Outcome::kUnknown;
  schema::Reason reason = schema::Reason::kNone;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

/// A duplicate request that waits for the first attempt to end.
struct Waiter {
  uint64_t link_id = 0;
  uint64_t attempt_id = 0;
  uint32_t retry_tokens = 0;
};

/// State of one ticket that was used.
struct TableEntry {
  absl::Time expiry;
  uint64_t fingerprint = 0;
  bool pending = true;
  /// The body was dropped to stay within `max_answer_bytes`.
  bool body_dropped = false;
  StoredAnswer answer;
  std::vector<Waiter> waiters;
};

/// Executions in this incarnation of the node, by ticket sequence.
struct AtMostOnceTable {
  TableSettings settings;
  TicketSecret secret;
  uint64_t next_sequence = 1;
  absl::btree_map<uint64_t, TableEntry> entries;
  /// Highest sequence of a removed entry. An expired ticket at or below it may
  /// have been used.
  uint64_t max_removed_sequence = 0;
  /// Highest sequence that was refused because the table was full. First uses
  /// at or below it are refused.
  uint64_t max_refused_sequence = 0;
  size_t answer_bytes = 0;
  /// Sequences of entries with a stored body, oldest first.
  std::deque<uint64_t> bodies;
};

/// How the caller of `Begin` must proceed.
enum class BeginDecision : uint8_t {
  /// First use: run or refuse the request, then call `Complete`.
  kExecute,
  /// A duplicate of a pending request: `Complete` returns it as a waiter.
  kWait,
  /// The answer is known: return it.
  kAnswered,
};

/// Result of `Begin`.
struct BeginResult {
  BeginDecision decision = BeginDecision::kAnswered;
  uint64_t sequence = 0;
  StoredAnswer answer;
};

AtMostOnceTable MakeTable(const TableSettings& settings,
                          const TicketSecret& secret);

/// Issues a ticket. No entry is stored until the ticket is used.
std::string IssueTicket(AtMostOnceTable& table, absl::Time now);

/// Handles the arrival of a call that carries a ticket.
BeginResult Begin(AtMostOnceTable& table,
                  absl::string_view ticket,
                  uint64_t fingerprint,
                  const Waiter& waiter,
                  absl::Time now);

/// Stores the answer of a first use that ended or was refused. Returns the
/// duplicates that wait for it.
std::vector<Waiter> Complete(AtMostOnceTable& table,
                             uint64_t sequence,
                             StoredAnswer answer);

/// Removes a duplicate whose sender no longer waits.
void RemoveWaiter(AtMostOnceTable& table,
                  uint64_t sequence,
                  const Waiter& waiter);

/// True if a duplicate waits for the execution.
bool HasWaiters(const AtMostOnceTable& table, uint64_t sequence);

/// Removes ended executions after their ticket's expiry and the grace period.
void Expire(AtMostOnceTable& table, absl::Time now);

}  // namespace boragepaddle::execution

#endif  // BORAGEPADDLE_EXECUTION_AT_MOST_ONCE_TABLE_H_
