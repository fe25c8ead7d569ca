#include "boragepaddle/membership/version_error.h"

namespace boragepaddle::membership {

absl::string_view ToString(VersionErrorCode code) {
  switch (code) {
    case VersionErrorCode::kOlderVersion:
      return "older-version";
    case VersionErrorCode::kSameVersion:
      return "same-version";
    case VersionErrorCode::kDigestConflict:
      return "digest-conflict";
    case VersionErrorCode::kMissingBase:
      return "missing-base";
    case VersionErrorCode::kDigestMismatch:
      return "digest-mismatch";
    case VersionErrorCode::kDuplicateEntry:
      return "duplicate-entry";
    case VersionErrorCode::kRefusedBefore:
      return "refused-before";
  }
  return "invalid";
}

}  // namespace boragepaddle::membership
