#include "boragepaddle/daemon/rule_book.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace boragepaddle::daemon {

namespace {

constexpr size_t kAuditCapacity = 2000;
// The first version after a start changes every key of the folder.
constexpr uint64_t kMaxLoggedPerVersion = 50;

std::string Describe(const config::AuditEntry& entry) {
  std::string text = absl::StrCat(
      config::ToString(entry.verdict), " version=", entry.version,
      " member=", entry.member, " file=", entry.file, " path=", entry.path,
      " old=", entry.old_value, " new=", entry.new_value);
  if (!entry.reason.empty()) {
    absl::StrAppend(&text, " reason=", entry.reason);
  }
  return text;
}

}  // namespace

RuleBook::RuleBook(std::vector<std::string> founding_members)
    : versions(std::move(founding_members), kAuditCapacity),
      snapshot(this->versions.Current()) {}

config::OfferResult RuleBook::Offer(uint64_t version, config::Folder folder) {
  absl::MutexLock lock(&this->config_mutex);
  config::OfferResult result =
      this->versions.Offer(version, std::move(folder), absl::Now());
  this->LogAudit();
  absl::MutexLock snapshot_lock(&this->snapshot_mutex);
  this->snapshot = this->versions.Current();
  return result;
}

config::OfferResult RuleBook::OfferDelta(
    uint64_t version,
    uint64_t digest,
    absl::Span<const schema::FileText> changes) {
  absl::MutexLock lock(&this->config_mutex);
  config::OfferResult result =
      this->versions.OfferDelta(version, digest, changes, absl::Now());
  this->LogAudit();
  absl::MutexLock snapshot_lock(&this->snapshot_mutex);
  this->snapshot = this->versions.Current();
  return result;
}

void RuleBook::LogAudit() {
  const config::AuditTrail& audit = this->versions.Audit();
  const auto& entries = audit.Entries();
  const uint64_t total = audit.Dropped() + entries.size();
  const uint64_t added = total - this->logged_entries;
  const uint64_t shown =
      std::min<uint64_t>({added, entries.size(), kMaxLoggedPerVersion});
  const size_t first = entries.size() - std::min<size_t>(added, entries.size());
  for (size_t index = first; index < first + shown; ++index) {
    this->log.Info(Describe(entries[index]));
  }
  if (added > shown) {
    this->log.Info(absl::StrCat("further changes=", added - shown));
  }
  this->logged_entries = total;
}

std::shared_ptr<const config::ConfigSnapshot> RuleBook::Current() const {
  absl::MutexLock lock(&this->snapshot_mutex);
  return this->snapshot;
}

absl::optional<node::CallRule> RuleBook::Find(
    absl::string_view service,
    absl::string_view operation) const {
  const std::shared_ptr<const config::ConfigSnapshot> current = this->Current();
  const config::OperationEntry* entry =
      current->table->FindOperation(service, operation);
  if (entry == nullptr) {
    return absl::nullopt;
  }
  return ToCallRule(*current->table, *entry);
}

std::vector<config::OperationName> RuleBook::CalleesOf(
    absl::string_view service,
    absl::string_view operation) const {
  const std::shared_ptr<const config::ConfigSnapshot> current = this->Current();
  const config::ServiceTable& table = *current->table;
  std::vector<config::OperationName> callees;
  const config::OperationEntry* entry = table.FindOperation(service, operation);
  if (entry == nullptr) {
    return callees;
  }
  callees.reserve(entry->callees.size());
  for (const size_t position : entry->callees) {
    const config::OperationEntry& callee = table.Operations()[position];
    callees.push_back({table.ServiceOf(callee).rule.name, callee.rule.name});
  }
  return callees;
}

std::string RuleBook::AuditJson() const {
  absl::MutexLock lock(&this->config_mutex);
  return config::AuditToJson(this->versions.Audit());
}

node::CallRule ToCallRule(const config::ServiceTable& table,
                          const config::OperationEntry& operation) {
  const schema::ServiceRule& service = table.ServiceOf(operation).rule;
  node::CallRule rule;
  rule.call_class = operation.rule.call_class;
  rule.idempotent = operation.rule.idempotent;
  rule.at_most_once = operation.rule.at_most_once;
  // Validation already refuses rules that violate this; checking again here
  // costs nothing.
  rule.retry_on_unknown =
      operation.rule.retry_on_unknown && operation.idempotent_closure;
  rule.retry_tokens = operation.rule.retry_tokens;
  rule.calls_others = !operation.rule.calls.empty();
  rule.deadline = absl::Milliseconds(operation.rule.deadline_ms);
  rule.retry_ratio_percent = service.retry_ratio_percent;
  rule.queue_target = absl::Milliseconds(service.queue_target_ms);
  return rule;
}

}  // namespace boragepaddle::daemon
