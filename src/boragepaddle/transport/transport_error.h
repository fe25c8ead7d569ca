#ifndef BORAGEPADDLE_TRANSPORT_TRANSPORT_ERROR_H_
#define BORAGEPADDLE_TRANSPORT_TRANSPORT_ERROR_H_

#include <cstdint>

namespace boragepaddle::transport {

/// Why a transport operation failed.
enum class TransportErrorCode : uint8_t {
  kBadAddress,
  kCannotListen,
  kCannotConnect,
  kClosed,
  kFrameTooLarge,
  kTimeout,
};

/// Error from a socket operation. `system_error` is errno, or 0 if none
/// applies.
struct TransportError {
  TransportErrorCode code = TransportErrorCode::kClosed;
  int system_error = 0;
};

/// Returns the text of the code, as it is logged.
const char* ToString(TransportErrorCode code);

}  // namespace boragepaddle::transport

#endif  // BORAGEPADDLE_TRANSPORT_TRANSPORT_ERROR_H_
