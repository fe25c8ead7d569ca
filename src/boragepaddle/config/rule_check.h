#ifndef BORAGEPADDLE_CONFIG_RULE_CHECK_H_
#define BORAGEPADDLE_CONFIG_RULE_CHECK_H_

#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/merged_rules.h"

namespace boragepaddle::config {

/// Adds a fault for each operation whose own keys contradict each other.
void CheckContradictions(const MergedRules& rules, ConfigErrors* errors);

/// Adds a fault for each operation that is retryable after an unknown outcome
/// although it or an operation below it must not run twice; lists the first
/// 100 of them. Needs the closure
/// flags of `ResolveCallGraph`.
void CheckRetries(const MergedRules& rules, ConfigErrors* errors);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_RULE_CHECK_H_
