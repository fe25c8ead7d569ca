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

/// Bounds of the table and identity of the node.
struct TableSettings {
  std::string vm_id;
  uint64_t incarnation = 0;
  absl::Duration ticket_ttl = absl::Minutes(10);
  /// Entries are kept for this long after their ticket expired, so that a
  /// late resend still finds its outcome.
  absl::Duration grace = absl::Minutes(1);
  size_t max_entries = 131072;
  /// Bytes of all stored answer bodies.
  size_t max_answer_bytes = size_t{16} << 20;
};

/// Outcome of an execution, as repeats get it.
struct StoredAnswer {
  schema::Outcome outcome = schema::Outcome::kUnknown;
  schema::Reason reason = schema::Reason::kNone;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

/// A repeat that waits for the first attempt to end.
struct Waiter {
  uint64_t link_id = 0;
  uint64_t attempt_id = 0;
  uint32_t retry_tokens = 0;
};

/// What is known of one ticket that was used.
struct TableEntry {
  absl::Time expiry;
  uint64_t fingerprint = 0;
  bool pending = true;
  /// The body was dropped to stay within the bound on bytes.
  bool body_dropped = false;
  StoredAnswer answer;
  std::vector<Waiter> waiters;
};

/// Executions of this incarnation by the sequence of their ticket.
struct AtMostOnceTable {
  TableSettings settings;
  TicketSecret secret;
  uint64_t next_sequence = 1;
  absl::btree_map<uint64_t, TableEntry> entries;
  /// Highest sequence of an entry that was removed. An expired ticket at or
  /// below it may have been used.
  uint64_t max_removed_sequence = 0;
  /// First uses at or below this sequence are refused, since one of them was
  /// refused when the table was full.
  uint64_t max_refused_sequence = 0;
  size_t answer_bytes = 0;
  /// Sequences with a stored body, oldest first.
  std::deque<uint64_t> bodies;
};

/// What Begin decided.
enum class BeginDecision : uint8_t {
  /// First use: the caller runs or refuses the request, then calls Complete.
  kExecute,
  /// A repeat that waits: Complete returns it.
  kWait,
  /// The answer is known.
  kAnswered,
};

/// Result of Begin.
struct BeginResult {
  BeginDecision decision = BeginDecision::kAnswered;
  uint64_t sequence = 0;
  StoredAnswer answer;
};

AtMostOnceTable MakeTable(const TableSettings& settings,
                          const TicketSecret& secret);

/// Issues a ticket. Stores nothing but the next sequence.
std::string IssueTicket(AtMostOnceTable& table, absl::Time now);

/// A call came with a ticket.
BeginResult Begin(AtMostOnceTable& table,
                  absl::string_view ticket,
                  uint64_t fingerprint,
                  const Waiter& waiter,
                  absl::Time now);

/// The first use ended or was refused. Returns the repeats that wait.
std::vector<Waiter> Complete(AtMostOnceTable& table,
                             uint64_t sequence,
                             StoredAnswer answer);

/// The sender of a repeat no longer waits.
void RemoveWaiter(AtMostOnceTable& table,
                  uint64_t sequence,
                  const Waiter& waiter);

/// True if a repeat waits for the execution.
bool HasWaiters(const AtMostOnceTable& table, uint64_t sequence);

/// Removes ended executions whose ticket expired and grace is over.
void Expire(AtMostOnceTable& table, absl::Time now);

}  // namespace boragepaddle::execution

#endif  // BORAGEPADDLE_EXECUTION_AT_MOST_ONCE_TABLE_H_
