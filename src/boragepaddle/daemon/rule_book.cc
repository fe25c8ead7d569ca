#include "boragepaddle/daemon/rule_book.h"

#include <utility>

#include "absl/time/clock.h"

namespace boragepaddle::daemon {

namespace {

constexpr size_t kAuditCapacity = 2000;

}  // namespace

RuleBook::RuleBook(std::vector<std::string> founding_members)
    : versions(std::move(founding_members), kAuditCapacity),
      snapshot(this->versions.Current()) {}

config::OfferResult RuleBook::Offer(uint64_t version, config::Folder folder) {
  absl::MutexLock lock(&this->config_mutex);
  config::OfferResult result =
      this->versions.Offer(version, std::move(folder), absl::Now());
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
  absl::MutexLock snapshot_lock(&this->snapshot_mutex);
  this->snapshot = this->versions.Current();
  return result;
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
  // The check of the folder refuses a rule that breaks this; a second test
  // here costs nothing.
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
