#ifndef BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_
#define BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

// Pattern: reset_under_load. Connections between nodes end while calls run
// behind them; the node beside the worker knows what became of each.

namespace boragepaddle::recovery {

struct InboundCallTableSettings {
  /// Calls of a sender without a connection go on for this long. A client's
  /// leaving must reach the worker within half a second, and its node may have
  /// ended.
  absl::Duration orphan_timeout = absl::Milliseconds(350);
  /// Answers are kept for this long, several times the way to a new connection.
  absl::Duration answer_retention = absl::Seconds(1);
  /// Bytes of answers that are kept.
  size_t max_answer_bytes = 4u << 20;
  /// Senders without a connection or a call are forgotten after this time,
  /// longer than any call may take.
  absl::Duration sender_retention = absl::Minutes(2);
};

struct CachedAnswer {
  schema::HttpAnswer answer;
  absl::Time cached_at;
};

/// Calls of one process start of another node.
struct SenderState {
  /// Highest call id that was received, or told as never received.
  uint64_t highest_call_id = 0;
  /// Newest connection; 0 if it ended.
  uint64_t connection = 0;
  absl::Time disconnected_at = absl::InfiniteFuture();
  /// Worker-side ids of unanswered calls.
  absl::flat_hash_map<uint64_t, uint64_t> running;
  /// Oldest first.
  std::deque<CachedAnswer> answers;
  size_t answer_bytes = 0;
};

/// Calls that other nodes sent to this one, by the sender's incarnation.
struct InboundCallTable {
  InboundCallTableSettings settings;
  absl::flat_hash_map<uint64_t, SenderState> senders;
  size_t answer_bytes = 0;
};

/// A sender made itself known on a connection, newer ones having higher
/// numbers.
void OnConnected(InboundCallTable& table, uint64_t sender, uint64_t connection);

/// True if the call is to be taken. A call that comes late on an old
/// connection, after its sender was told that it never came, is not.
bool OnCall(InboundCallTable& table,
            uint64_t sender,
            uint64_t connection,
            uint64_t call_id);

/// The worker's side gave a call the id.
void OnForwarded(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t call_id,
                 uint64_t worker_call_id);

/// Keeps the answer of a call. Returns the connection on which to send it; 0
/// if there is none now.
uint64_t OnAnswer(InboundCallTable& table,
                  uint64_t sender,
                  const schema::HttpAnswer& answer,
                  absl::Time now);

/// The sender cancels a call. Returns its worker-side id; 0 if it has ended.
uint64_t OnCancel(InboundCallTable& table, uint64_t sender, uint64_t call_id);

void OnConnectionClosed(InboundCallTable& table,
                        uint64_t connection,
                        absl::Time now);

/// What became of calls whose connection ended.
struct ResumeResult {
  std::vector<schema::HttpAnswer> answers;
  schema::CallStates states;
};

/// The sender asks on a new connection.
ResumeResult OnResume(InboundCallTable& table,
                      uint64_t sender,
                      absl::Span<const uint64_t> call_ids);

/// Worker-side ids of calls whose sender did not come back, to be cancelled.
std::vector<uint64_t> Expire(InboundCallTable& table, absl::Time now);

}  // namespace boragepaddle::recovery

#endif  // BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_
