#ifndef BORAGEPADDLE_TRANSPORT_FRAME_H_
#define BORAGEPADDLE_TRANSPORT_FRAME_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/transport/socket.h"
#include "boragepaddle/transport/transport_error.h"

namespace boragepaddle::transport {

/// Largest payload of one frame, in bytes.
inline constexpr size_t kMaxFrameBytes = 8u << 20;

/// Largest payload of the first frame, whose sender is not yet identified.
inline constexpr size_t kMaxHelloBytes = 16u << 10;

/// Reads one frame: a 4-byte big-endian length and the payload. Fails if the
/// payload is larger than `max_bytes` or incomplete at `give_up_at` (on the
/// clock of MonotonicNow).
base::Result<std::string, TransportError> ReadFrame(
    const Socket& socket,
    size_t max_bytes = kMaxFrameBytes,
    absl::Time give_up_at = absl::InfiniteFuture());

/// Writes one frame. Returns the number of bytes sent, including the length.
base::Result<size_t, TransportError> WriteFrame(const Socket& socket,
                                                absl::string_view payload);

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_FRAME_H_
