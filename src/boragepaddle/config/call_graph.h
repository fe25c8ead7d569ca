#ifndef BORAGEPADDLE_CONFIG_CALL_GRAPH_H_
#define BORAGEPADDLE_CONFIG_CALL_GRAPH_H_

#include <cstddef>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/types/span.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/merged_rules.h"

namespace boragepaddle::config {

/// Resolves `calls` and computes depth and closure flags of each operation.
/// Adds a fault for each target that does not exist, for cycles and for each
/// chain that is too deep. Returns false, with depth and flags not computed,
/// if there is a cycle. `folder` is used only to name the candidate that
/// declares a missing target.
bool ResolveCallGraph(const ParsedFolder& folder,
                      const Membership& membership,
                      MergedRules* rules,
                      ConfigErrors* errors);

/// Returns the shortest chain of calls from `start` to an operation for which
/// `matches` holds, both ends included; empty if there is none.
std::vector<size_t> ShortestChain(
    absl::Span<const OperationEntry> operations,
    size_t start,
    absl::FunctionRef<bool(const OperationEntry&)> matches);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_CALL_GRAPH_H_
