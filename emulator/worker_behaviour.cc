#include "emulator/worker_behaviour.h"

#include <nlohmann/json.hpp>

namespace emulator {
namespace {

template <typename T>
void ReadIfPresent(const nlohmann::json& json, const char* key, T* value) {
  const auto found = json.find(key);
  if (found != json.end()) {
    found->get_to(*value);
  }
}

void ParseOperation(const nlohmann::json& json, OperationBehaviour* operation) {
  ReadIfPresent(json, "service_ms", &operation->service_ms);
  ReadIfPresent(json, "spread_ms", &operation->spread_ms);
  ReadIfPresent(json, "calls", &operation->calls);
  ReadIfPresent(json, "parallel", &operation->parallel);
  ReadIfPresent(json, "answer_bytes", &operation->answer_bytes);
}

void ParseBehaviour(const nlohmann::json& json, WorkerBehaviour* behaviour) {
  ReadIfPresent(json, "slots", &behaviour->slots);
  ReadIfPresent(json, "connections", &behaviour->connections);
  ReadIfPresent(json, "max_waiting", &behaviour->max_waiting);
  ReadIfPresent(json, "honours_deadline", &behaviour->honours_deadline);
  ReadIfPresent(json, "cold_start_factor", &behaviour->cold_start_factor);
  ReadIfPresent(json, "cold_start_s", &behaviour->cold_start_s);
  ReadIfPresent(json, "slow_factor", &behaviour->slow_factor);
  ReadIfPresent(json, "fail_percent", &behaviour->fail_percent);
  ReadIfPresent(json, "crash_marker", &behaviour->crash_marker);
  ReadIfPresent(json, "healthy", &behaviour->healthy);
  ReadIfPresent(json, "reported_load", &behaviour->reported_load);
  const auto operations = json.find("operations");
  if (operations == json.end()) {
    return;
  }
  for (const auto& [name, value] : operations->items()) {
    ParseOperation(value, &behaviour->operations[name]);
  }
}

}  // namespace

absl::string_view ToString(BehaviourError error) {
  switch (error) {
    case BehaviourError::kSyntax:
      return "the text is not a JSON object";
    case BehaviourError::kWrongType:
      return "a value has the wrong type";
  }
  return "";
}

boragepaddle::base::Result<WorkerBehaviour, BehaviourError> ApplyBehaviourJson(
    WorkerBehaviour behaviour,
    absl::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(
      text.begin(), text.end(), nullptr, /*allow_exceptions=*/false,
      /*ignore_comments=*/true);
  if (!json.is_object()) {
    return BehaviourError::kSyntax;
  }
  try {
    ParseBehaviour(json, &behaviour);
  } catch (const nlohmann::json::exception&) {
    return BehaviourError::kWrongType;
  }
  return behaviour;
}

}  // namespace emulator
