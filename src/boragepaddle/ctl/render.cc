#include "boragepaddle/ctl/render.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace boragepaddle::ctl {

namespace {

std::string OrNone(const std::string& text) {
  return text.empty() ? "(none)" : text;
}

std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

Json OperationToJson(const config::ServiceTable& table,
                     const config::OperationEntry& operation) {
  const schema::OperationRule& rule = operation.rule;
  return {{"operation", config::QualifiedName(table, operation)},
          {"path", operation.path},
          {"class", std::string(schema::ToString(rule.call_class))},
          {"idempotent", rule.idempotent},
          {"at_most_once", rule.at_most_once},
          {"retry_on_unknown", rule.retry_on_unknown},
          {"retry_tokens", rule.retry_tokens},
          {"deadline_ms", rule.deadline_ms},
          {"calls", rule.calls},
          {"reaches_at_most_once", operation.reaches_at_most_once},
          {"idempotent_closure", operation.idempotent_closure},
          {"depth", operation.depth}};
}

std::string OperationLine(const config::ServiceTable& table,
                          const config::OperationEntry& operation) {
  std::vector<std::string> marks;
  if (operation.rule.at_most_once) {
    marks.emplace_back("at-most-once");
  } else if (operation.reaches_at_most_once) {
    marks.emplace_back("reaches at-most-once");
  }
  if (operation.rule.retry_on_unknown) {
    marks.emplace_back("retried after unknown");
  }
  return absl::StrCat("  ", config::QualifiedName(table, operation), "  class ",
                      schema::ToString(operation.rule.call_class), ", depth ",
                      operation.depth, marks.empty() ? "" : ", ",
                      absl::StrJoin(marks, ", "), "\n");
}

std::string CandidateLine(const config::Candidate& candidate) {
  std::string line =
      absl::StrCat("candidate ", candidate.name, " (",
                   candidate.file.empty() ? "no file" : candidate.file, "): ");
  if (candidate.order == 0) {
    absl::StrAppend(&line, "no approval");
  } else if (candidate.missing_approvals.empty()) {
    absl::StrAppend(&line, "order ", candidate.order,
                    ", waits for the members of lower order");
  } else {
    absl::StrAppend(&line, "order ", candidate.order,
                    ", approval missing from ",
                    absl::StrJoin(candidate.missing_approvals, ", "));
  }
  return line + "\n";
}

}  // namespace

std::string DigestText(uint64_t digest) {
  return absl::StrCat(absl::Hex(digest, absl::kZeroPad16));
}

std::string JsonText(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Json ToJson(const config::ConfigErrors& errors) {
  Json list = Json::array();
  for (const config::ConfigError& error : errors) {
    list.push_back({{"code", std::string(config::ToString(error.code))},
                    {"file", error.file},
                    {"path", error.path},
                    {"value", error.value},
                    {"reason", error.reason},
                    {"correction", error.correction}});
  }
  return list;
}

Json ToJson(const std::vector<config::Change>& changes) {
  Json list = Json::array();
  for (const config::Change& change : changes) {
    list.push_back({{"member", change.member},
                    {"file", change.file},
                    {"service", change.service},
                    {"operation", change.operation},
                    {"path", change.path},
                    {"old_value", change.old_value},
                    {"new_value", change.new_value}});
  }
  return list;
}

Json ToJson(const config::Explanation& explanation) {
  Json keys = Json::array();
  for (const config::ExplainedKey& key : explanation.keys) {
    keys.push_back({{"path", key.path},
                    {"value", key.value},
                    {"default", key.is_default}});
  }
  return {{"service", explanation.service},
          {"operation", explanation.operation},
          {"member", explanation.member},
          {"file", explanation.file},
          {"keys", std::move(keys)},
          {"reaches_at_most_once", explanation.reaches_at_most_once},
          {"at_most_once_path", explanation.at_most_once_path},
          {"idempotent_closure", explanation.idempotent_closure},
          {"depth", explanation.depth},
          {"retry", explanation.retry_reason}};
}

Json ToJson(const config::ServiceTable& table) {
  Json services = Json::array();
  for (const config::ServiceEntry& service : table.Services()) {
    Json operations = Json::array();
    for (const size_t position : service.operations) {
      operations.push_back(
          OperationToJson(table, table.Operations()[position]));
    }
    services.push_back(
        {{"service", service.rule.name},
         {"member", service.member},
         {"file", service.file},
         {"path", service.path},
         {"slots", service.rule.slots},
         {"connections", service.rule.connections},
         {"retry_ratio_percent", service.rule.retry_ratio_percent},
         {"queue_target_ms", service.rule.queue_target_ms},
         {"operations", std::move(operations)}});
  }
  return services;
}

void AddMembership(const config::Membership& membership, Json* json) {
  Json members = Json::array();
  for (const config::Member& member : membership.members) {
    members.push_back({{"name", member.name},
                       {"order", member.order},
                       {"founding", member.founding},
                       {"file", member.file}});
  }
  Json candidates = Json::array();
  for (const config::Candidate& candidate : membership.candidates) {
    candidates.push_back({{"name", candidate.name},
                          {"order", candidate.order},
                          {"file", candidate.file},
                          {"missing_approvals", candidate.missing_approvals}});
  }
  (*json)["members"] = std::move(members);
  (*json)["candidates"] = std::move(candidates);
}

std::string ToText(const config::Membership& membership) {
  std::string text;
  for (const config::Member& member : membership.members) {
    absl::StrAppend(&text, "member ", member.order, " ", member.name, " (",
                    member.file.empty() ? "no file" : member.file, ")",
                    member.founding ? ", founding" : "", "\n");
  }
  for (const config::Candidate& candidate : membership.candidates) {
    text += CandidateLine(candidate);
  }
  return text;
}

std::string ToText(const config::ServiceTable& table) {
  std::string text;
  for (const config::ServiceEntry& service : table.Services()) {
    absl::StrAppend(&text, "service ", service.rule.name, " of ",
                    service.member, " (", service.file, " ", service.path,
                    "): ", service.rule.slots, " slots, ",
                    service.rule.connections, " connections per worker\n");
    for (const size_t position : service.operations) {
      text += OperationLine(table, table.Operations()[position]);
    }
  }
  return text;
}

std::string ToText(const config::Explanation& explanation) {
  std::string text = absl::StrCat(
      explanation.service, ".", explanation.operation, " of member ",
      explanation.member, ", rule in ", explanation.file, "\n");
  for (const config::ExplainedKey& key : explanation.keys) {
    absl::StrAppend(&text, "  ", key.path, " = ", key.value,
                    key.is_default ? " (default)" : "", "\n");
  }
  absl::StrAppend(
      &text, "  longest chain of calls: ", explanation.depth, "\n",
      "  idempotent with all below: ", YesNo(explanation.idempotent_closure),
      "\n", "  reaches at-most-once: ",
      explanation.reaches_at_most_once
          ? absl::StrJoin(explanation.at_most_once_path, " -> ")
          : "no",
      "\n  ", explanation.retry_reason, "\n");
  return text;
}

std::string ToText(const std::vector<config::Change>& changes) {
  std::string text;
  for (const config::Change& change : changes) {
    absl::StrAppend(&text, OrNone(change.member), " ", change.file, ": ",
                    OrNone(change.path), ": ", OrNone(change.old_value), " -> ",
                    OrNone(change.new_value), "\n");
  }
  return text;
}

}  // namespace boragepaddle::ctl
