#include "boragepaddle/daemon/rule_book.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::daemon {

namespace {

node::CallRule ToCallRule(const schema::ServiceRule& service,
                          const schema::OperationRule& operation) {
  node::CallRule rule;
  rule.call_class = operation.call_class;
  rule.idempotent = operation.idempotent;
  rule.at_most_once = operation.at_most_once;
  rule.retry_on_unknown = operation.retry_on_unknown;
  rule.retry_tokens = operation.retry_tokens;
  rule.deadline = absl::Milliseconds(operation.deadline_ms);
  rule.retry_ratio_percent = service.retry_ratio_percent;
  rule.queue_target = absl::Milliseconds(service.queue_target_ms);
  return rule;
}

}  // namespace

void AddRules(const schema::MemberFile& file, Rules& rules) {
  for (const schema::ServiceRule& service : file.services) {
    for (const schema::OperationRule& operation : service.operations) {
      rules.operations[absl::StrCat(service.name, "/", operation.name)] =
          ToCallRule(service, operation);
    }
  }
}

void RuleBook::Install(std::shared_ptr<const Rules> rules) {
  absl::MutexLock lock(&this->mutex);
  if (rules->version > this->current->version) {
    this->current = std::move(rules);
  }
}

std::shared_ptr<const Rules> RuleBook::Current() const {
  absl::MutexLock lock(&this->mutex);
  return this->current;
}

absl::optional<node::CallRule> RuleBook::Find(
    absl::string_view service,
    absl::string_view operation) const {
  const std::shared_ptr<const Rules> rules = this->Current();
  const auto found =
      rules->operations.find(absl::StrCat(service, "/", operation));
  if (found == rules->operations.end()) {
    return absl::nullopt;
  }
  return found->second;
}

}  // namespace boragepaddle::daemon
