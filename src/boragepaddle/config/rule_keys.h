#ifndef BORAGEPADDLE_CONFIG_RULE_KEYS_H_
#define BORAGEPADDLE_CONFIG_RULE_KEYS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "boragepaddle/schema/settings.h"

namespace boragepaddle::config {

/// One key of a rule, with its value.
struct RuleKey {
  const char* name;
  nlohmann::json value;
  /// The value equals the schema's default.
  bool is_default = false;
};

/// Returns all keys of the rule except the name.
std::vector<RuleKey> KeysOf(const schema::OperationRule& rule);

/// Returns all keys of the rule except the name and the operations.
std::vector<RuleKey> KeysOf(const schema::ServiceRule& rule);

/// Formats the rule as in a member file, omitting keys with the default value.
nlohmann::json ToJson(const schema::ServiceRule& rule);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_RULE_KEYS_H_
