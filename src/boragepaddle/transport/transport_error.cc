#include "boragepaddle/transport/transport_error.h"

namespace boragepaddle::transport {

const char* ToString(TransportErrorCode code) {
  switch (code) {
    case TransportErrorCode::kBadAddress:
      return "bad address";
    case TransportErrorCode::kCannotListen:
      return "cannot listen";
    case TransportErrorCode::kCannotConnect:
      return "cannot connect";
    case TransportErrorCode::kClosed:
      return "connection closed";
    case TransportErrorCode::kFrameTooLarge:
      return "frame too large";
    case TransportErrorCode::kTimeout:
      return "timeout";
  }
  return "invalid";
}

}  // namespace boragepaddle::transport
