#include "boragepaddle/event/key_value_source.h"

namespace boragepaddle::event {

absl::string_view ToString(SourceErrorCode code) {
  switch (code) {
    case SourceErrorCode::kUnreachable:
      return "unreachable";
    case SourceErrorCode::kRefused:
      return "refused";
    case SourceErrorCode::kCompacted:
      return "compacted";
    case SourceErrorCode::kMalformed:
      return "malformed";
    case SourceErrorCode::kOlderEra:
      return "older-era";
  }
  return "invalid";
}

}  // namespace boragepaddle::event
