#ifndef BORAGEPADDLE_SCHEMA_DECODE_ERROR_H_
#define BORAGEPADDLE_SCHEMA_DECODE_ERROR_H_

#include <cstdint>

namespace boragepaddle::schema {

/// Why a frame could not be decoded.
enum class DecodeErrorCode : uint8_t {
  kNotMsgpack,
  kNotAMessage,
  kUnknownKind,
  kBadField,
};

/// Error from decoding a message between nodes.
struct DecodeError {
  DecodeErrorCode code = DecodeErrorCode::kNotMsgpack;
};

}  // namespace boragepaddle::schema

#endif  // BORAGEPADDLE_SCHEMA_DECODE_ERROR_H_
