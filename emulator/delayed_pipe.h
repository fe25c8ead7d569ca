#ifndef EMULATOR_DELAYED_PIPE_H_
#define EMULATOR_DELAYED_PIPE_H_

#include <cstddef>
#include <deque>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "emulator/link_effect.h"

namespace emulator {

/// Bytes of one direction of a proxied connection, in order, each with the
/// time at which it may be delivered.
class DelayedPipe {
 public:
  void Push(absl::string_view bytes,
            const DirectionEffect& effect,
            absl::Time now);

  /// The sender ended its direction.
  void PushEof(const DirectionEffect& effect, absl::Time now);

  /// Bytes that may be delivered now; empty if there are none.
  absl::string_view DueBytes(absl::Time now) const;

  /// All bytes before the end of stream were delivered and it is due.
  bool IsEofDue(absl::Time now) const;

  /// Removes delivered bytes from the front.
  void Consume(size_t size);
  void ConsumeEof();

  /// When the front may be delivered; InfiniteFuture if there is none.
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
