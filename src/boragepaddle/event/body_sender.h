#ifndef BORAGEPADDLE_EVENT_BODY_SENDER_H_
#define BORAGEPADDLE_EVENT_BODY_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "boragepaddle/event/peer_channel.h"
#include "boragepaddle/event/shared_body.h"

namespace boragepaddle::event {

/// Sends large bodies in pieces, in turn for each channel, and only while the
/// send queue of the channel is short.
class BodySender {
 public:
  /// The message that the body belongs to must have been sent on the channel.
  void Start(const PeerChannelPtr& channel,
             uint64_t call_id,
             bool of_answer,
             SharedBody body);

  /// Sends no more of the body; no effect if it was sent or is unknown.
  void Stop(uint64_t channel, uint64_t call_id, bool of_answer);

  /// The send queue of the channel has become shorter.
  void OnDrained(const PeerChannelPtr& channel);
  void OnChannelClosed(uint64_t channel) { this->queues.erase(channel); }

  /// True if a part of the body is not yet in the send queue.
  bool IsSending(uint64_t channel, uint64_t call_id, bool of_answer) const;
  /// Calls on the channel whose answer is being sent.
  std::vector<uint64_t> AnswersInProgress(uint64_t channel) const;
  /// Number of answers that are being sent on all channels.
  size_t AnswersInProgress() const;

 private:
  struct Transfer {
    uint64_t call_id = 0;
    bool of_answer = false;
    SharedBody body;
    size_t sent = 0;
  };
  using Queue = std::deque<Transfer>;

  static Queue::const_iterator Find(const Queue& queue,
                                    uint64_t call_id,
                                    bool of_answer);

  /// By the number of the channel.
  absl::flat_hash_map<uint64_t, Queue> queues;
};

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_BODY_SENDER_H_
