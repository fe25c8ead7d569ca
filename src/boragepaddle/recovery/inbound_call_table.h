#ifndef BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_
#define BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

// Pattern: reset_under_load. Connections between nodes are reset while calls
// are in flight; the node next to the worker keeps the state of each call, so
// that the sender can resume after it has reconnected.

namespace boragepaddle::recovery {

struct InboundCallTableSettings {
  /// Time after which the calls of a disconnected sender are cancelled. A
  /// client's disconnect must reach the worker within half a second, even if
  /// the sender has terminated.
  absl::Duration orphan_timeout = absl::Milliseconds(350);
  /// Time for which answers are kept: several times the duration of a
  /// reconnect.
  absl::Duration answer_retention = absl::Seconds(1);
  /// Limit on the total size of kept answers.
  size_t max_answer_bytes = 4u << 20;
  /// Time after which a disconnected sender without answers is removed; longer
  /// than any call may take.
  absl::Duration sender_retention = absl::Minutes(2);
  /// Ids of calls that ended midway in their body, kept for each sender.
  size_t max_incomplete_calls = 1024;
};

struct CachedAnswer {
  schema::HttpAnswer answer;
  /// Body of an answer that was sent in pieces; null if `answer` holds it.
  std::shared_ptr<const std::string> body;
  absl::Time cached_at;
};

/// Calls from one incarnation of another node.
struct SenderState {
  /// Highest call id that was received, or reported as never received.
  uint64_t highest_call_id = 0;
  /// Latest connection; 0 if it was closed.
  uint64_t connection = 0;
  absl::Time disconnected_at = absl::InfiniteFuture();
  /// Ids of unanswered calls at the worker proxy, by the sender's call id.
  absl::flat_hash_map<uint64_t, uint64_t> running;
  /// Connections of the calls whose body is not complete, by the sender's call
  /// id. They have not been passed on.
  absl::flat_hash_map<uint64_t, uint64_t> receiving;
  /// Calls that ended midway in their body and are never passed on; oldest
  /// first.
  std::deque<uint64_t> incomplete;
  /// Oldest first.
  std::deque<CachedAnswer> answers;
  size_t answer_bytes = 0;
};

/// Calls received from other nodes, by the sender's incarnation.
struct InboundCallTable {
  InboundCallTableSettings settings;
  absl::flat_hash_map<uint64_t, SenderState> senders;
  size_t answer_bytes = 0;
};

/// Records the connection on which a sender identified itself. Later
/// connections have higher numbers.
void OnConnected(InboundCallTable& table, uint64_t sender, uint64_t connection);

/// Returns true if the call must be executed. A call that arrives on an old
/// connection, after its sender was told that it was never received, must not.
bool OnCall(InboundCallTable& table,
            uint64_t sender,
            uint64_t connection,
            uint64_t call_id);

/// Like OnCall, for a call whose body follows in pieces. It must not be
/// executed before OnBodyComplete.
bool OnCallStart(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t connection,
                 uint64_t call_id);

/// Returns true if the call must be executed now. False if it ended midway in
/// its body, so that its sender may have been told that it is not run.
bool OnBodyComplete(InboundCallTable& table, uint64_t sender, uint64_t call_id);

/// The call ends midway in its body, such as at its deadline.
void OnBodyDropped(InboundCallTable& table, uint64_t sender, uint64_t call_id);

/// Records the id that the worker proxy assigned to a call.
void OnForwarded(InboundCallTable& table,
                 uint64_t sender,
                 uint64_t call_id,
                 uint64_t worker_call_id);

/// Stores the answer of a call, and its body if it is sent in pieces. Returns
/// the connection on which to send it; 0 if the sender is disconnected.
uint64_t OnAnswer(InboundCallTable& table,
                  uint64_t sender,
                  const schema::HttpAnswer& answer,
                  absl::Time now,
                  std::shared_ptr<const std::string> body = nullptr);

/// Removes a call that its sender cancelled. Returns its id at the worker
/// proxy; 0 if the call has ended or was not passed on.
uint64_t OnCancel(InboundCallTable& table, uint64_t sender, uint64_t call_id);

void OnConnectionClosed(InboundCallTable& table,
                        uint64_t connection,
                        absl::Time now);

/// State of calls whose connection was closed.
struct ResumeResult {
  std::vector<schema::HttpAnswer> answers;
  /// Bodies of the answers that are sent in pieces, by call id.
  absl::flat_hash_map<uint64_t, std::shared_ptr<const std::string>> bodies;
  schema::CallStates states;
};

/// Answers a sender that asks for the state of its calls after a reconnect.
ResumeResult OnResume(InboundCallTable& table,
                      uint64_t sender,
                      absl::Span<const uint64_t> call_ids);

/// Ids of the calls of a sender that were passed on and are not answered.
std::vector<uint64_t> CallsInProgress(const InboundCallTable& table,
                                      uint64_t sender);

/// Removes expired answers and senders. Returns the worker proxy's ids of calls
/// to cancel because their sender did not reconnect.
std::vector<uint64_t> Expire(InboundCallTable& table, absl::Time now);

}  // namespace boragepaddle::recovery

#endif  // BORAGEPADDLE_RECOVERY_INBOUND_CALL_TABLE_H_
