#ifndef BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_
#define BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace boragepaddle::membership {

/// Why a version of the VM list or configuration folder was not applied.
enum class VersionErrorCode : uint8_t {
  /// The version is lower than the current one.
  kOlderVersion,
  /// The version is the current one.
  kSameVersion,
  /// The version is current, or was refused, with a different digest.
  kDigestConflict,
  /// The delta starts at a version that this node has not reached.
  kMissingBase,
  /// The digest of the content differs from the one in the message.
  kDigestMismatch,
  /// Two entries have the same name.
  kDuplicateEntry,
  /// This version and digest were refused before.
  kRefusedBefore,
};

/// Failure to apply a version.
struct VersionError {
  VersionErrorCode code = VersionErrorCode::kOlderVersion;
  uint64_t version = 0;
  /// Digest of the local or computed content; 0 if not applicable.
  uint64_t expected_digest = 0;
  uint64_t offered_digest = 0;
};

/// Returns the name used in logs and counters.
absl::string_view ToString(VersionErrorCode code);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_
