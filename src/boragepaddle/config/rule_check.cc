#include "boragepaddle/config/rule_check.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "boragepaddle/config/call_graph.h"

namespace boragepaddle::config {

namespace {

// Naming the chain searches the graph below an operation, so that the cost of
// a folder with thousands of faults is bounded by listing only the first.
constexpr size_t kMaxRetryErrors = 100;

std::string ChainText(const MergedRules& rules,
                      const std::vector<size_t>& chain) {
  return absl::StrJoin(chain, " -> ",
                       [&rules](std::string* out, size_t position) {
                         out->append(QualifiedName(rules, position));
                       });
}

// Returns why running the operation twice is unsafe; empty if it is safe.
std::string UnsafeReason(const MergedRules& rules, size_t position) {
  const OperationEntry& operation = rules.operations[position];
  if (operation.rule.at_most_once) {
    return "the operation is at-most-once";
  }
  if (operation.reaches_at_most_once) {
    const std::vector<size_t> chain = ShortestChain(
        rules.operations, position,
        [](const auto& entry) { return entry.rule.at_most_once; });
    return absl::StrCat("it reaches an at-most-once operation: ",
                        ChainText(rules, chain));
  }
  if (!operation.rule.idempotent) {
    return "the operation is not idempotent";
  }
  if (!operation.idempotent_closure) {
    const std::vector<size_t> chain =
        ShortestChain(rules.operations, position,
                      [](const auto& entry) { return !entry.rule.idempotent; });
    return absl::StrCat("it reaches an operation that is not idempotent: ",
                        ChainText(rules, chain));
  }
  return "";
}

}  // namespace

void CheckContradictions(const MergedRules& rules, ConfigErrors* errors) {
  for (const OperationEntry& operation : rules.operations) {
    if (operation.rule.at_most_once && operation.rule.idempotent) {
      errors->push_back({ConfigErrorCode::kContradiction,
                         FileOf(rules, operation),
                         absl::StrCat(operation.path, ".at_most_once"), "true",
                         "the operation is also declared idempotent",
                         "keep at_most_once or idempotent, not both"});
    }
  }
}

void CheckRetries(const MergedRules& rules, ConfigErrors* errors) {
  size_t faults = 0;
  for (size_t position = 0;
       position < rules.operations.size() && faults < kMaxRetryErrors;
       ++position) {
    const OperationEntry& operation = rules.operations[position];
    if (!operation.rule.retry_on_unknown) {
      continue;
    }
    std::string reason = UnsafeReason(rules, position);
    if (!reason.empty()) {
      ++faults;
      errors->push_back(
          {ConfigErrorCode::kUnsafeRetry, FileOf(rules, operation),
           absl::StrCat(operation.path, ".retry_on_unknown"), "true",
           std::move(reason), "set retry_on_unknown to false"});
    }
  }
}

}  // namespace boragepaddle::config
