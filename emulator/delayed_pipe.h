#ifndef EMULATOR_DELAYED_PIPE_H_
#define EMULATOR_DELAYED_PIPE_H_

#include <cstddef>
#include <deque>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "emulator/link_effect.h"

namespace emulator {

/// FIFO buffer for one direction of a proxied connection. Each chunk has the
/// time from which it may be delivered.
class DelayedPipe {
 public:
  void Push(absl::string_view bytes,
            const DirectionEffect& effect,
            absl::Time now);

  /// Appends the end of the stream: the sender closed its direction.
  void PushEof(const DirectionEffect& effect, absl::Time now);

  /// Returns the bytes of the front chunk if they may be delivered now.
  absl::string_view DueBytes(absl::Time now) const;

  /// True if all bytes were consumed and the end of the stream is due.
  bool IsEofDue(absl::Time now) const;

  /// Removes delivered bytes from the front.
  void Consume(size_t size);
  void ConsumeEof();

  /// Time at which the front chunk is due; InfiniteFuture if the pipe is empty.
  absl::Time NextDueTime() const;

  size_t BufferedBytes() const;

 private:
  struct Chunk {
    absl::Time due;
    std::string bytes;
    bool eof = false;
  };

  absl::Time DueTime(size_t size,
                     const DirectionEffect& effect,
                     absl::Time now);

  std::deque<Chunk> chunks;
  size_t front_offset = 0;
  size_t size = 0;
  absl::Time last_due = absl::InfinitePast();
};

}  // namespace emulator

#endif  // EMULATOR_DELAYED_PIPE_H_
