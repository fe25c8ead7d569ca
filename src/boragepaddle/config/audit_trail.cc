#include "boragepaddle/config/audit_trail.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace boragepaddle::config {

AuditTrail::AuditTrail(size_t capacity) : capacity(capacity) {
  assert(capacity > 0);
}

void AuditTrail::Append(AuditEntry entry) {
  if (this->entries.size() == this->capacity) {
    this->entries.pop_front();
    ++this->dropped;
  }
  this->entries.push_back(std::move(entry));
}

absl::string_view ToString(AuditVerdict verdict) {
  switch (verdict) {
    case AuditVerdict::kAccepted:
      return "accepted";
    case AuditVerdict::kRefused:
      return "refused";
  }
  return "invalid";
}

std::string AuditToJson(const AuditTrail& trail) {
  nlohmann::json entries = nlohmann::json::array();
  for (const AuditEntry& entry : trail.Entries()) {
    entries.push_back(
        {{"member", entry.member},
         {"file", entry.file},
         {"version", entry.version},
         {"path", entry.path},
         {"old_value", entry.old_value},
         {"new_value", entry.new_value},
         {"verdict", std::string(ToString(entry.verdict))},
         {"reason", entry.reason},
         {"time", absl::FormatTime(entry.time, absl::UTCTimeZone())}});
  }
  const nlohmann::json json = {{"dropped", trail.Dropped()},
                               {"entries", std::move(entries)}};
  // File names and values may contain bytes that are not valid UTF-8.
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace boragepaddle::config
