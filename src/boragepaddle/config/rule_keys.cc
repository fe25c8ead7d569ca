#include "boragepaddle/config/rule_keys.h"

#include <string>
#include <utility>

namespace boragepaddle::config {

namespace {

using Json = nlohmann::json;

template <typename T>
RuleKey Key(const char* name, const T& value, const T& default_value) {
  return {name, value, value == default_value};
}

std::string ClassName(schema::CallClass value) {
  return std::string(schema::ToString(value));
}

template <typename Rule>
Json NamedKeys(const Rule& rule) {
  Json json = {{"name", rule.name}};
  for (RuleKey& key : KeysOf(rule)) {
    if (!key.is_default) {
      json[key.name] = std::move(key.value);
    }
  }
  return json;
}

}  // namespace

std::vector<RuleKey> KeysOf(const schema::OperationRule& rule) {
  const schema::OperationRule defaults;
  return {
      Key("class", ClassName(rule.call_class), ClassName(defaults.call_class)),
      Key("idempotent", rule.idempotent, defaults.idempotent),
      Key("at_most_once", rule.at_most_once, defaults.at_most_once),
      Key("retry_on_unknown", rule.retry_on_unknown, defaults.retry_on_unknown),
      Key("retry_tokens", rule.retry_tokens, defaults.retry_tokens),
      Key("deadline_ms", rule.deadline_ms, defaults.deadline_ms),
      Key("calls", rule.calls, defaults.calls)};
}

std::vector<RuleKey> KeysOf(const schema::ServiceRule& rule) {
  const schema::ServiceRule defaults;
  return {
      Key("slots", rule.slots, defaults.slots),
      Key("connections", rule.connections, defaults.connections),
      Key("retry_ratio_percent", rule.retry_ratio_percent,
          defaults.retry_ratio_percent),
      Key("queue_target_ms", rule.queue_target_ms, defaults.queue_target_ms)};
}

Json ToJson(const schema::ServiceRule& rule) {
  Json json = NamedKeys(rule);
  for (const schema::OperationRule& operation : rule.operations) {
    json["operations"].push_back(NamedKeys(operation));
  }
  return json;
}

}  // namespace boragepaddle::config
