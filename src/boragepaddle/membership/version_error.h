#ifndef BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_
#define BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace boragepaddle::membership {

/// Why a VM list or a configuration folder was not taken over.
enum class VersionErrorCode : uint8_t {
  /// The version is lower than the one held.
  kOlderVersion,
  /// The version is the one held.
  kSameVersion,
  /// The version is held or was refused with another digest.
  kDigestConflict,
  /// The delta starts at a version that is not held yet.
  kMissingBase,
  /// The content does not have the digest that came with it.
  kDigestMismatch,
  /// Two entries have the same name.
  kDuplicateEntry,
  /// This version and digest were refused before.
  kRefusedBefore,
};

/// Failure to take over a version.
struct VersionError {
  VersionErrorCode code = VersionErrorCode::kOlderVersion;
  uint64_t version = 0;
  /// Digest held or computed here; 0 if it does not matter.
  uint64_t expected_digest = 0;
  uint64_t offered_digest = 0;
};

/// Returns the name used in logs and counters.
absl::string_view ToString(VersionErrorCode code);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_VERSION_ERROR_H_
