#include "boragepaddle/config/explain.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "boragepaddle/config/call_graph.h"

namespace boragepaddle::config {

namespace {

// Collects keys with the prefix of one rule.
class KeyList {
 public:
  KeyList(std::string path, std::vector<ExplainedKey>* keys)
      : path(std::move(path)), keys(keys) {}

  template <typename T>
  void Add(absl::string_view key, const T& value, const T& default_value) {
    this->keys->push_back({absl::StrCat(this->path, ".", key),
                           nlohmann::json(value).dump(),
                           value == default_value});
  }

  void AddClass(schema::CallClass value, schema::CallClass default_value) {
    this->Add("class", std::string(schema::ToString(value)),
              std::string(schema::ToString(default_value)));
  }

 private:
  std::string path;
  std::vector<ExplainedKey>* keys;
};

void AddOperationKeys(const OperationEntry& operation,
                      std::vector<ExplainedKey>* keys) {
  const schema::OperationRule& rule = operation.rule;
  const schema::OperationRule defaults;
  KeyList list(operation.path, keys);
  list.AddClass(rule.call_class, defaults.call_class);
  list.Add("idempotent", rule.idempotent, defaults.idempotent);
  list.Add("at_most_once", rule.at_most_once, defaults.at_most_once);
  list.Add("retry_on_unknown", rule.retry_on_unknown,
           defaults.retry_on_unknown);
  list.Add("retry_tokens", rule.retry_tokens, defaults.retry_tokens);
  list.Add("deadline_ms", rule.deadline_ms, defaults.deadline_ms);
  list.Add("calls", rule.calls, defaults.calls);
}

void AddServiceKeys(const ServiceEntry& service,
                    std::vector<ExplainedKey>* keys) {
  const schema::ServiceRule& rule = service.rule;
  const schema::ServiceRule defaults;
  KeyList list(service.path, keys);
  list.Add("slots", rule.slots, defaults.slots);
  list.Add("connections", rule.connections, defaults.connections);
  list.Add("retry_ratio_percent", rule.retry_ratio_percent,
           defaults.retry_ratio_percent);
  list.Add("queue_target_ms", rule.queue_target_ms, defaults.queue_target_ms);
}

std::string RetryReason(const OperationEntry& operation) {
  if (operation.rule.retry_on_unknown) {
    return "Retried after an unknown outcome while retry tokens and the retry "
           "ratio last.";
  }
  if (operation.rule.at_most_once) {
    return "Never rerun after an unknown outcome; the caller resends with its "
           "ticket.";
  }
  if (operation.reaches_at_most_once) {
    return "Not retried after an unknown outcome: it reaches an at-most-once "
           "operation.";
  }
  if (!operation.idempotent_closure) {
    return "Not retried after an unknown outcome: it or an operation below it "
           "is not idempotent.";
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
  AddOperationKeys(*entry, &explanation.keys);
  AddServiceKeys(owner, &explanation.keys);
  explanation.reaches_at_most_once = entry->reaches_at_most_once;
  explanation.idempotent_closure = entry->idempotent_closure;
  explanation.depth = entry->depth;
  explanation.retry_reason = RetryReason(*entry);
  explanation.at_most_once_path = AtMostOncePath(table, *entry);
  return explanation;
}

}  // namespace boragepaddle::config
