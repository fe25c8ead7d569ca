#ifndef BORAGEPADDLE_CONFIG_AUDIT_TRAIL_H_
#define BORAGEPADDLE_CONFIG_AUDIT_TRAIL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace boragepaddle::config {

enum class AuditVerdict : uint8_t { kAccepted, kRefused };

/// One changed key of one offered version.
struct AuditEntry {
  std::string member;
  std::string file;
  uint64_t version = 0;
  std::string path;
  std::string old_value;
  std::string new_value;
  AuditVerdict verdict = AuditVerdict::kAccepted;
  /// Why the version was refused; empty if it was accepted.
  std::string reason;
  /// When this node accepted or refused the version. An accepted change is
  /// active from then on.
  absl::Time time;
};

/// Bounded in-memory log of configuration changes. Not synchronized.
class AuditTrail {
 public:
  /// Keeps the latest `capacity` entries.
  explicit AuditTrail(size_t capacity);

  void Append(AuditEntry entry);

  /// Oldest first.
  const std::deque<AuditEntry>& Entries() const { return this->entries; }

  /// Number of entries dropped since construction.
  uint64_t Dropped() const { return this->dropped; }

 private:
  size_t capacity;
  std::deque<AuditEntry> entries;
  uint64_t dropped = 0;
};

/// Returns `accepted` or `refused`.
absl::string_view ToString(AuditVerdict verdict);

/// Formats the trail for `GET /audit`:
/// `{"dropped": n, "entries": [{"member", "file", "version", "path",
/// "old_value", "new_value", "verdict", "reason", "time"}]}`.
std::string AuditToJson(const AuditTrail& trail);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_AUDIT_TRAIL_H_
