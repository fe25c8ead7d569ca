#ifndef BORAGEPADDLE_CONFIG_VERSIONED_CONFIG_H_
#define BORAGEPADDLE_CONFIG_VERSIONED_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/config/audit_trail.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/folder.h"
#include "boragepaddle/config/parsed_folder.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::config {

/// An accepted version with its parsed and merged content. Immutable.
struct ConfigSnapshot {
  /// 0 if no version was accepted yet; the table is then empty.
  uint64_t version = 0;
  uint64_t digest = 0;
  Folder folder;
  ParsedFolder parsed;
  std::shared_ptr<const ServiceTable> table;
};

enum class OfferOutcome : uint8_t {
  /// Accepted and active from now on.
  kAccepted,
  /// Already active with the same digest.
  kSameVersion,
  /// Lower than the active version.
  kOlderVersion,
  /// Has errors; the last accepted version stays active.
  kRefused,
  /// This version is known with a different digest; raises an alarm.
  kVersionConflict,
};

/// Result of offering a version.
struct OfferResult {
  OfferOutcome outcome = OfferOutcome::kOlderVersion;
  /// Errors, if the version was refused or in conflict.
  ConfigErrors errors;
};

/// The active configuration. Not synchronized; snapshots can be shared between
/// threads.
class VersionedConfig {
 public:
  VersionedConfig(std::vector<std::string> founding_members,
                  size_t audit_capacity);

  /// Offers a full folder. `version` is the platform's revision, starting at 1.
  OfferResult Offer(uint64_t version, Folder folder, absl::Time now);

  /// Offers changes to the active version. If the result does not have
  /// `digest`, it is refused with `kDigestMismatch` and the full folder should
  /// be fetched.
  OfferResult OfferDelta(uint64_t version,
                         uint64_t digest,
                         absl::Span<const schema::FileText> changes,
                         absl::Time now);

  /// Never null.
  std::shared_ptr<const ConfigSnapshot> Current() const {
    return this->current;
  }

  /// Latest refused version above the active one; 0 if there is none.
  uint64_t RefusedVersion() const { return this->refused_version; }

  const AuditTrail& Audit() const { return this->audit; }

 private:
  void Accept(std::shared_ptr<const ConfigSnapshot> next, absl::Time now);
  OfferResult Refuse(uint64_t version,
                     uint64_t digest,
                     const ParsedFolder& parsed,
                     ConfigErrors errors,
                     absl::Time now);

  std::vector<std::string> founding_members;
  std::shared_ptr<const ConfigSnapshot> current;
  uint64_t refused_version = 0;
  uint64_t refused_digest = 0;
  ConfigErrors refused_errors;
  AuditTrail audit;
};

/// Returns the name of the outcome, such as `version-conflict`.
absl::string_view ToString(OfferOutcome outcome);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_VERSIONED_CONFIG_H_
