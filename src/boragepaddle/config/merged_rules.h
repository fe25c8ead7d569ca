#ifndef BORAGEPADDLE_CONFIG_MERGED_RULES_H_
#define BORAGEPADDLE_CONFIG_MERGED_RULES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/membership.h"
#include "boragepaddle/config/parsed_folder.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::config {

/// Rules of all members in file order, before the call graph is resolved.
struct MergedRules {
  std::vector<ServiceEntry> services;
  std::vector<OperationEntry> operations;
  /// Index into `services` by name.
  absl::flat_hash_map<std::string, size_t> service_positions;
  /// Index into `operations` by `service.operation`.
  absl::flat_hash_map<std::string, size_t> operation_positions;
};

/// Collects the services of the members. Adds an error for each invalid name
/// and each service or operation that is declared twice.
MergedRules MergeRules(const ParsedFolder& folder,
                       const Membership& membership,
                       ConfigErrors* errors);

/// Returns `service.operation`.
std::string QualifiedName(const MergedRules& rules, size_t operation);

/// Returns the file that declares the operation.
const std::string& FileOf(const MergedRules& rules,
                          const OperationEntry& operation);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_MERGED_RULES_H_
