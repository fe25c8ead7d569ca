#ifndef BORAGEPADDLE_TRANSPORT_FRAME_H_
#define BORAGEPADDLE_TRANSPORT_FRAME_H_

#include <cstddef>
#include <string>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/transport/socket.h"
#include "boragepaddle/transport/transport_error.h"

namespace boragepaddle::transport {

/// Largest payload of one frame, in bytes.
inline constexpr size_t kMaxFrameBytes = 8u << 20;

/// Reads one frame: a 4-byte big-endian length and the payload.
base::Result<std::string, TransportError> ReadFrame(const Socket& socket);

/// Writes one frame.
base::Result<size_t, TransportError> WriteFrame(const Socket& socket,
                                                absl::string_view payload);

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_FRAME_H_
