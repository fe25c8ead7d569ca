#include "boragepaddle/config/versioned_config.h"

#include <cassert>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/merge.h"

namespace boragepaddle::config {

namespace {

// Bounds the memory of the audit trail, together with its capacity.
constexpr size_t kMaxAuditValueLength = 512;

std::string Shortened(std::string value) {
  if (value.size() > kMaxAuditValueLength) {
    value.resize(kMaxAuditValueLength);
    value += "...";
  }
  return value;
}

std::string Hex(uint64_t digest) {
  return absl::StrCat(absl::Hex(digest, absl::kZeroPad16));
}

OfferResult Conflict(uint64_t version, uint64_t known, uint64_t offered) {
  return {
      OfferOutcome::kVersionConflict,
      {{ConfigErrorCode::kVersionConflict, "", "version", absl::StrCat(version),
        absl::StrCat("the version is known with digest ", Hex(known),
                     " and was offered with ", Hex(offered)),
        "check the configuration service; the next higher version "
        "replaces both"}}};
}

// Returns the first error in the changed file; if it has none, the first error.
std::string ReasonFor(const std::string& file, const ConfigErrors& errors) {
  for (const ConfigError& error : errors) {
    if (error.file == file) {
      return Describe(error);
    }
  }
  return errors.empty() ? "" : Describe(errors.front());
}

void Record(const ParsedFolder& from,
            const ParsedFolder& to,
            uint64_t version,
            const ConfigErrors& errors,
            absl::Time now,
            AuditTrail* audit) {
  for (Change& change : Diff(from, to)) {
    AuditEntry entry;
    entry.member = std::move(change.member);
    entry.file = std::move(change.file);
    entry.version = version;
    entry.path = Shortened(std::move(change.path));
    entry.old_value = Shortened(std::move(change.old_value));
    entry.new_value = Shortened(std::move(change.new_value));
    entry.verdict =
        errors.empty() ? AuditVerdict::kAccepted : AuditVerdict::kRefused;
    entry.reason = Shortened(ReasonFor(entry.file, errors));
    entry.time = now;
    audit->Append(std::move(entry));
  }
}

std::shared_ptr<const ConfigSnapshot> EmptySnapshot() {
  auto snapshot = std::make_shared<ConfigSnapshot>();
  snapshot->table = std::make_shared<const ServiceTable>();
  return snapshot;
}

}  // namespace

VersionedConfig::VersionedConfig(std::vector<std::string> founding_members,
                                 size_t audit_capacity)
    : founding_members(std::move(founding_members)),
      current(EmptySnapshot()),
      audit(audit_capacity) {}

OfferResult VersionedConfig::Offer(uint64_t version,
                                   Folder folder,
                                   absl::Time now) {
  assert(version > 0);
  if (version < this->current->version) {
    return {OfferOutcome::kOlderVersion, {}};
  }
  const uint64_t digest = DigestOf(folder);
  if (version == this->current->version) {
    return digest == this->current->digest
               ? OfferResult{OfferOutcome::kSameVersion, {}}
               : Conflict(version, this->current->digest, digest);
  }
  if (version == this->refused_version) {
    return digest == this->refused_digest
               ? OfferResult{OfferOutcome::kRefused, this->refused_errors}
               : Conflict(version, this->refused_digest, digest);
  }
  auto next = std::make_shared<ConfigSnapshot>();
  next->parsed = ParseFolder(folder, this->current->parsed);
  TableResult result = MergeParsed(next->parsed, this->founding_members);
  if (!result.has_value()) {
    return this->Refuse(version, digest, next->parsed,
                        std::move(result).error(), now);
  }
  next->version = version;
  next->digest = digest;
  next->folder = std::move(folder);
  next->table = std::move(result).value();
  this->Accept(std::move(next), now);
  return {OfferOutcome::kAccepted, {}};
}

OfferResult VersionedConfig::OfferDelta(
    uint64_t version,
    uint64_t digest,
    absl::Span<const schema::FileText> changes,
    absl::Time now) {
  if (version < this->current->version) {
    return {OfferOutcome::kOlderVersion, {}};
  }
  if (version == this->current->version) {
    return digest == this->current->digest
               ? OfferResult{OfferOutcome::kSameVersion, {}}
               : Conflict(version, this->current->digest, digest);
  }
  Folder folder = ApplyFiles(this->current->folder, changes);
  const uint64_t actual = DigestOf(folder);
  if (actual != digest) {
    return {OfferOutcome::kRefused,
            {{ConfigErrorCode::kDigestMismatch, "", "version",
              absl::StrCat(version),
              absl::StrCat("the changes give digest ", Hex(actual),
                           " instead of ", Hex(digest)),
              "fetch the full folder"}}};
  }
  return this->Offer(version, std::move(folder), now);
}

void VersionedConfig::Accept(std::shared_ptr<const ConfigSnapshot> next,
                             absl::Time now) {
  Record(this->current->parsed, next->parsed, next->version, {}, now,
         &this->audit);
  this->current = std::move(next);
  if (this->refused_version <= this->current->version) {
    this->refused_version = 0;
    this->refused_errors.clear();
  }
}

OfferResult VersionedConfig::Refuse(uint64_t version,
                                    uint64_t digest,
                                    const ParsedFolder& parsed,
                                    ConfigErrors errors,
                                    absl::Time now) {
  Record(this->current->parsed, parsed, version, errors, now, &this->audit);
  if (version > this->refused_version) {
    this->refused_version = version;
    this->refused_digest = digest;
    this->refused_errors = errors;
  }
  return {OfferOutcome::kRefused, std::move(errors)};
}

absl::string_view ToString(OfferOutcome outcome) {
  switch (outcome) {
    case OfferOutcome::kAccepted:
      return "accepted";
    case OfferOutcome::kSameVersion:
      return "same-version";
    case OfferOutcome::kOlderVersion:
      return "older-version";
    case OfferOutcome::kRefused:
      return "refused";
    case OfferOutcome::kVersionConflict:
      return "version-conflict";
  }
  return "invalid";
}

}  // namespace boragepaddle::config
