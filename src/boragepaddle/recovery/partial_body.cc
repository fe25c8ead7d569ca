#include "boragepaddle/recovery/partial_body.h"

namespace boragepaddle::recovery {

PartialBody MakePartialBody(uint64_t size) {
  PartialBody body;
  body.size = size;
  // Growth by appending would hold two copies at times.
  body.bytes.reserve(size);
  return body;
}

PieceResult AddPiece(PartialBody& body, const schema::BodyPiece& piece) {
  const uint64_t received = body.bytes.size();
  if (piece.offset != received || piece.data.empty() ||
      piece.data.size() > kMaxPieceBytes ||
      piece.data.size() > body.size - received) {
    return PieceResult::kInvalid;
  }
  body.bytes.append(piece.data);
  return body.bytes.size() == body.size ? PieceResult::kComplete
                                        : PieceResult::kPartial;
}

}  // namespace boragepaddle::recovery
