#include "boragepaddle/config/merge.h"

#include <algorithm>
#include <utility>

#include "boragepaddle/config/call_graph.h"
#include "boragepaddle/config/merged_rules.h"
#include "boragepaddle/config/rule_check.h"

namespace boragepaddle::config {

namespace {

ConfigErrors InFileOrder(ConfigErrors errors) {
  std::stable_sort(errors.begin(), errors.end(),
                   [](const ConfigError& a, const ConfigError& b) {
                     return a.file < b.file;
                   });
  return errors;
}

}  // namespace

TableResult MergeParsed(const ParsedFolder& folder,
                        absl::Span<const std::string> founding_members) {
  ConfigErrors errors;
  Membership membership = ComputeMembership(folder, founding_members, &errors);
  // A file that cannot be read hides its services and approvals; checking the
  // rest would report faults that are not there.
  if (!errors.empty()) {
    return InFileOrder(std::move(errors));
  }
  MergedRules rules = MergeRules(folder, membership, &errors);
  CheckContradictions(rules, &errors);
  if (ResolveCallGraph(folder, membership, &rules, &errors)) {
    CheckRetries(rules, &errors);
  }
  if (!errors.empty()) {
    return InFileOrder(std::move(errors));
  }
  return std::make_shared<const ServiceTable>(std::move(membership),
                                              std::move(rules.services),
                                              std::move(rules.operations));
}

TableResult MergeFolder(const Folder& folder,
                        absl::Span<const std::string> founding_members) {
  return MergeParsed(ParseFolder(folder, {}), founding_members);
}

ConfigErrors CheckFolder(const Folder& folder,
                         absl::Span<const std::string> founding_members) {
  TableResult result = MergeFolder(folder, founding_members);
  return result.has_value() ? ConfigErrors() : std::move(result).error();
}

}  // namespace boragepaddle::config
