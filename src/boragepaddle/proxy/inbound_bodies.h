#ifndef BORAGEPADDLE_PROXY_INBOUND_BODIES_H_
#define BORAGEPADDLE_PROXY_INBOUND_BODIES_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/event/memory_budget.h"
#include "boragepaddle/event/shared_body.h"
#include "boragepaddle/recovery/partial_body.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::proxy {

/// A call of another node whose body is complete.
struct ReceivedCall {
  schema::HttpCall message;
  event::SharedBody body;
};

struct ReceivedPiece {
  /// False if the piece does not continue its body: the connection is corrupt.
  bool is_valid = true;
  absl::optional<ReceivedCall> complete;
};

/// Names a call by its sender's incarnation and its id there.
struct InboundCallName {
  uint64_t sender = 0;
  uint64_t call_id = 0;
};

/// Calls of other nodes whose bodies arrive in pieces, by channel number and
/// call id.
class InboundBodies {
 public:
  explicit InboundBodies(event::MemoryBudget& memory) : memory(memory) {}

  /// Reserves the memory of the whole body; false if there is too little.
  bool Start(uint64_t channel,
             uint64_t sender,
             schema::HttpCall message,
             absl::Time now);

  /// Pieces of unknown calls are valid and ignored: they were sent before their
  /// sender learned that the call has ended. The times of a complete call are
  /// reduced by the time that its body took.
  ReceivedPiece AddPiece(uint64_t channel,
                         const schema::BodyPiece& piece,
                         absl::Time now);

  /// Frees the body of a call that has ended.
  void Drop(uint64_t channel, uint64_t call_id);
  /// Like Drop, on whichever channel the call arrived.
  void Drop(const InboundCallName& name);
  void OnChannelClosed(uint64_t channel);
  void Clear() { this->entries.clear(); }

  /// Frees the bodies of calls whose time is over, and returns their names.
  std::vector<InboundCallName> Expire(absl::Time now);

  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    uint64_t sender = 0;
    schema::HttpCall message;
    recovery::PartialBody body;
    event::MemoryReservation reservation;
    absl::Time started;
  };

  event::MemoryBudget& memory;
  absl::flat_hash_map<std::pair<uint64_t, uint64_t>, Entry> entries;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_INBOUND_BODIES_H_
