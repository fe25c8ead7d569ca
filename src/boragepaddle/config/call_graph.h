#ifndef BORAGEPADDLE_CONFIG_CALL_GRAPH_H_
#define BORAGEPADDLE_CONFIG_CALL_GRAPH_H_

#include <cstddef>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/types/span.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/merged_rules.h"

namespace boragepaddle::config {

/// Resolves the `calls` keys and computes the depth and closure flags of each
/// operation. Adds an error for each target that does not exist, each cycle and
/// each chain that is too deep. Returns false, without computing depth and
/// flags, if there is a cycle. `folder` is used only to name the candidate that
/// declares a missing target.
bool ResolveCallGraph(const ParsedFolder& folder,
                      const Membership& membership,
                      MergedRules* rules,
                      ConfigErrors* errors);

/// Returns the shortest chain of calls from `start` to an operation that
/// satisfies `matches`, including both ends; empty if there is none.
std::vector<size_t> ShortestChain(
    absl::Span<const OperationEntry> operations,
    size_t start,
    absl::FunctionRef<bool(const OperationEntry&)> matches);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_CALL_GRAPH_H_
