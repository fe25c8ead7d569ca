#ifndef BORAGEPADDLE_RECOVERY_PARTIAL_BODY_H_
#define BORAGEPADDLE_RECOVERY_PARTIAL_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "boragepaddle/schema/messages.h"

namespace boragepaddle::recovery {

/// Largest piece of a body, in bytes. Small messages wait for at most a few
/// pieces.
inline constexpr size_t kMaxPieceBytes = 64u << 10;

/// A body that arrives in pieces.
struct PartialBody {
  std::string bytes;
  /// Size of the complete body.
  uint64_t size = 0;
};

enum class PieceResult {
  kPartial,
  kComplete,
  /// The piece does not continue the body, is empty or is too large.
  kInvalid,
};

/// Prepares for a body of the size. The caller has reserved the memory.
PartialBody MakePartialBody(uint64_t size);

/// Appends the piece unless it is invalid.
PieceResult AddPiece(PartialBody& body, const schema::BodyPiece& piece);

}  // namespace boragepaddle::recovery

#endif  // BORAGEPADDLE_RECOVERY_PARTIAL_BODY_H_
