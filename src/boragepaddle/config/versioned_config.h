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

/// A version that was accepted, with all that belongs to it. Immutable.
struct ConfigSnapshot {
  /// 0: no version was accepted yet; the table is empty.
  uint64_t version = 0;
  uint64_t digest = 0;
  Folder folder;
  ParsedFolder parsed;
  std::shared_ptr<const ServiceTable> table;
};

enum class OfferOutcome : uint8_t {
  /// In force from now on.
  kAccepted,
  /// Already in force with the same digest.
  kSameVersion,
  /// Lower than the version in force.
  kOlderVersion,
  /// Faulty; the last accepted version stays in force.
  kRefused,
  /// This version is known with another digest; raises an alarm.
  kVersionConflict,
};

/// Effect of one offered version.
struct OfferResult {
  OfferOutcome outcome = OfferOutcome::kOlderVersion;
  /// Faults if refused or in conflict.
  ConfigErrors errors;
};

/// The configuration in force. Not synchronized; snapshots may be shared.
class VersionedConfig {
 public:
  VersionedConfig(std::vector<std::string> founding_members,
                  size_t audit_capacity);

  /// Offers a whole folder. `version` is the platform's revision, from 1.
  OfferResult Offer(uint64_t version, Folder folder, absl::Time now);

  /// Offers changes to the version in force. If the result does not have
  /// `digest`, it is refused with `kDigestMismatch` and should be fetched
  /// whole.
  OfferResult OfferDelta(uint64_t version,
                         uint64_t digest,
                         absl::Span<const schema::FileText> changes,
                         absl::Time now);

  /// Never null.
  std::shared_ptr<const ConfigSnapshot> Current() const {
    return this->current;
  }

  /// Newest refused version above the one in force; 0 if there is none.
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
