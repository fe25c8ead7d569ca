#ifndef BORAGEPADDLE_CONFIG_RULE_KEYS_H_
#define BORAGEPADDLE_CONFIG_RULE_KEYS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "boragepaddle/schema/settings.h"

namespace boragepaddle::config {

/// One key of a rule.
struct RuleKey {
  const char* name;
  nlohmann::json value;
  /// The value is the default of the schema.
  bool is_default = false;
};

/// All keys of the rule but the name.
std::vector<RuleKey> KeysOf(const schema::OperationRule& rule);

/// All keys of the rule but the name and the operations.
std::vector<RuleKey> KeysOf(const schema::ServiceRule& rule);

/// The rule as in a member file, without keys that have the default value.
nlohmann::json ToJson(const schema::ServiceRule& rule);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_RULE_KEYS_H_
