#ifndef BORAGEPADDLE_CONFIG_RULE_CHECK_H_
#define BORAGEPADDLE_CONFIG_RULE_CHECK_H_

#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/merged_rules.h"

namespace boragepaddle::config {

/// Adds an error for each operation whose own keys contradict each other.
void CheckContradictions(const MergedRules& rules, ConfigErrors* errors);

/// Adds an error for each operation that is retried after an unknown outcome
/// although it, or an operation that it reaches, must not run twice. Reports at
/// most 100 errors. Requires the closure flags set by `ResolveCallGraph`.
void CheckRetries(const MergedRules& rules, ConfigErrors* errors);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_RULE_CHECK_H_
