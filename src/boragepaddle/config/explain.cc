#include "boragepaddle/config/explain.h"

#include "absl/strings/str_cat.h"
#include "boragepaddle/config/call_graph.h"
#include "boragepaddle/config/rule_keys.h"

namespace boragepaddle::config {

namespace {

template <typename Rule>
void AddKeys(const std::string& path,
             const Rule& rule,
             std::vector<ExplainedKey>* keys) {
  for (const RuleKey& key : KeysOf(rule)) {
    keys->push_back(
        {absl::StrCat(path, ".", key.name), key.value.dump(), key.is_default});
  }
}

std::string RetryReason(const OperationEntry& operation) {
  if (operation.rule.retry_on_unknown) {
    return "Retried after an unknown outcome while retry tokens and the retry "
           "ratio allow it.";
  }
  if (operation.rule.at_most_once) {
    return "Never retried after an unknown outcome; the caller resends with "
           "its "
           "ticket.";
  }
  if (operation.reaches_at_most_once) {
    return "Not retried after an unknown outcome: it reaches an at-most-once "
           "operation.";
  }
  if (!operation.idempotent_closure) {
    return "Not retried after an unknown outcome: it or an operation that it "
           "reaches is not idempotent.";
  }
  return "Not retried after an unknown outcome: retry_on_unknown is false.";
}

std::vector<std::string> AtMostOncePath(const ServiceTable& table,
                                        const OperationEntry& operation) {
  const auto start =
      static_cast<size_t>(&operation - table.Operations().data());
  const std::vector<size_t> chain =
      ShortestChain(table.Operations(), start,
                    [](const auto& entry) { return entry.rule.at_most_once; });
  std::vector<std::string> names;
  names.reserve(chain.size());
  for (const size_t position : chain) {
    names.push_back(QualifiedName(table, table.Operations()[position]));
  }
  return names;
}

ConfigError NotFound(const ServiceTable& table,
                     absl::string_view service,
                     absl::string_view operation) {
  const ServiceEntry* known = table.FindService(service);
  if (known == nullptr) {
    return {ConfigErrorCode::kUnknownService,
            "",
            "",
            std::string(service),
            "no member declares the service",
            "check the name, or the approvals of its owner"};
  }
  return {ConfigErrorCode::kUnknownOperation,       known->file,
          absl::StrCat(known->path, ".operations"), std::string(operation),
          "the service has no such operation",      "check the name"};
}

}  // namespace

base::Result<Explanation, ConfigError> Explain(const ServiceTable& table,
                                               absl::string_view service,
                                               absl::string_view operation) {
  const OperationEntry* entry = table.FindOperation(service, operation);
  if (entry == nullptr) {
    return NotFound(table, service, operation);
  }
  const ServiceEntry& owner = table.ServiceOf(*entry);
  Explanation explanation;
  explanation.service = owner.rule.name;
  explanation.operation = entry->rule.name;
  explanation.member = owner.member;
  explanation.file = owner.file;
  AddKeys(entry->path, entry->rule, &explanation.keys);
  AddKeys(owner.path, owner.rule, &explanation.keys);
  explanation.reaches_at_most_once = entry->reaches_at_most_once;
  explanation.idempotent_closure = entry->idempotent_closure;
  explanation.depth = entry->depth;
  explanation.retry_reason = RetryReason(*entry);
  explanation.at_most_once_path = AtMostOncePath(table, *entry);
  return explanation;
}

}  // namespace boragepaddle::config
