#include "emulator/load_plan.h"

#include <nlohmann/json.hpp>

namespace emulator {
namespace {

absl::Duration MillisecondsValue(const nlohmann::json& json,
                                 const char* key,
                                 absl::Duration missing) {
  return absl::Milliseconds(
      json.value(key, absl::ToDoubleMilliseconds(missing)));
}

LoadOperation ParseOperation(const nlohmann::json& json) {
  LoadOperation operation;
  operation.service = json.value("service", "");
  operation.operation = json.value("operation", "");
  operation.call_class = json.value("class", operation.call_class);
  operation.path = json.value(
      "path", "/call/" + operation.service + "/" + operation.operation);
  operation.rate = json.value("rate", operation.rate);
  operation.surges = json.value("surges", operation.surges);
  operation.deadline =
      MillisecondsValue(json, "deadline_ms", operation.deadline);
  operation.attempts = json.value("attempts", operation.attempts);
  operation.resend_pause =
      MillisecondsValue(json, "resend_pause_ms", operation.resend_pause);
  operation.resend_unknown =
      json.value("resend_unknown", operation.resend_unknown);
  operation.ticket = json.value("ticket", operation.ticket);
  operation.new_connection = json.value("new_connection", false);
  operation.marker = json.value("marker", "");
  operation.body_bytes = json.value("body_bytes", operation.body_bytes);
  operation.entries = json.value("entries", operation.entries);
  return operation;
}

LoadPhase ParsePhase(const nlohmann::json& json) {
  return {json.value("name", ""), absl::Seconds(json.value("seconds", 1.0)),
          json.value("factor", 1.0)};
}

LoadPlan ParsePlan(const nlohmann::json& json) {
  LoadPlan plan;
  plan.run = json.value("run", plan.run);
  plan.entries = json.value("entries", plan.entries);
  for (const nlohmann::json& phase :
       json.value("phases", nlohmann::json::array())) {
    plan.phases.push_back(ParsePhase(phase));
  }
  for (const nlohmann::json& operation :
       json.value("operations", nlohmann::json::array())) {
    plan.operations.push_back(ParseOperation(operation));
    if (plan.operations.back().entries.empty()) {
      plan.operations.back().entries = plan.entries;
    }
  }
  plan.max_in_flight = json.value("max_in_flight", plan.max_in_flight);
  plan.poisson = json.value("poisson", plan.poisson);
  plan.seed = json.value("seed", plan.seed);
  plan.window = MillisecondsValue(json, "window_ms", plan.window);
  plan.trigger_phase = json.value("trigger_phase", "");
  return plan;
}

bool IsSendable(const LoadPlan& plan) {
  bool has_entries = true;
  for (const LoadOperation& operation : plan.operations) {
    has_entries = has_entries && !operation.entries.empty();
  }
  return has_entries && !plan.operations.empty() && !plan.phases.empty();
}

}  // namespace

absl::string_view ToString(LoadPlanError error) {
  switch (error) {
    case LoadPlanError::kSyntax:
      return "the plan is not a JSON object";
    case LoadPlanError::kWrongType:
      return "a value of the plan has the wrong type";
    case LoadPlanError::kNothingToSend:
      return "the plan needs phases, operations and entries";
  }
  return "";
}

boragepaddle::base::Result<LoadPlan, LoadPlanError> ParseLoadPlan(
    absl::string_view text) {
  const nlohmann::json json = nlohmann::json::parse(
      text.begin(), text.end(), nullptr, /*allow_exceptions=*/false,
      /*ignore_comments=*/true);
  if (!json.is_object()) {
    return LoadPlanError::kSyntax;
  }
  LoadPlan plan;
  try {
    plan = ParsePlan(json);
  } catch (const nlohmann::json::exception&) {
    return LoadPlanError::kWrongType;
  }
  if (!IsSendable(plan)) {
    return LoadPlanError::kNothingToSend;
  }
  return plan;
}

}  // namespace emulator
