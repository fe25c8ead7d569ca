#include "boragepaddle/ctl/node_commands.h"

#include <httplib.h>

#include "absl/strings/str_cat.h"
#include "boragepaddle/ctl/render.h"

namespace boragepaddle::ctl {

namespace {

CommandResult Failure(ExitCode code,
                      const NodeTarget& node,
                      absl::string_view reason) {
  return {code, "", absl::StrCat("node ", node.address, ": ", reason, "\n")};
}

// Returns the JSON of the answer, or the result of the failed command.
base::Result<Json, CommandResult> Parse(const NodeTarget& node,
                                        const httplib::Result& answer) {
  if (!answer) {
    return Failure(
        ExitCode::kUnreachable, node,
        absl::StrCat("no answer: ", httplib::to_string(answer.error())));
  }
  const int status = answer->status;
  if (status < 200 || status > 299) {
    return Failure(ExitCode::kNodeError, node,
                   absl::StrCat("HTTP status ", status, ": ", answer->body));
  }
  if (answer->body.empty()) {
    return Json::object();
  }
  Json json = Json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return Failure(ExitCode::kNodeError, node, "the answer is not JSON");
  }
  return json;
}

httplib::Client ClientFor(const NodeTarget& node) {
  httplib::Client client("http://" + node.address);
  const auto timeout = absl::ToChronoMicroseconds(node.timeout);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  return client;
}

std::string ValueText(const Json& json) {
  return json.is_string()
             ? json.get<std::string>()
             : json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Appends one line per key; the keys of nested objects are joined by dots.
void AppendLines(const Json& json, const std::string& path, std::string* text) {
  if (!json.is_object() && !json.is_array()) {
    absl::StrAppend(text, path.empty() ? "" : path + ": ", ValueText(json),
                    "\n");
    return;
  }
  for (const auto& item : json.items()) {
    AppendLines(item.value(),
                path.empty() ? item.key() : absl::StrCat(path, ".", item.key()),
                text);
  }
}

std::string Field(const Json& entry, const char* key) {
  if (!entry.is_object() || !entry.contains(key)) {
    return "";
  }
  return ValueText(entry[key]);
}

std::string AuditLine(const Json& entry) {
  const std::string reason = Field(entry, "reason");
  return absl::StrCat(
      Field(entry, "time"), " version ", Field(entry, "version"), " ",
      Field(entry, "verdict"), " ", Field(entry, "member"), " ",
      Field(entry, "file"), ": ", Field(entry, "path"), ": ",
      Field(entry, "old_value"), " -> ", Field(entry, "new_value"),
      reason.empty() ? "" : absl::StrCat(" (", reason, ")"), "\n");
}

std::string AuditText(const Json& json) {
  std::string text;
  if (json.is_object() && json.contains("entries")) {
    for (const Json& entry : json["entries"]) {
      text += AuditLine(entry);
    }
  }
  const std::string dropped = Field(json, "dropped");
  if (!dropped.empty() && dropped != "0") {
    absl::StrAppend(&text, "older entries dropped: ", dropped, "\n");
  }
  return text;
}

CommandResult Print(const base::Result<Json, CommandResult>& answer,
                    Format format,
                    std::string (*to_text)(const Json&)) {
  if (!answer.has_value()) {
    return answer.error();
  }
  CommandResult result;
  result.output = format == Format::kJson ? JsonText(answer.value())
                                          : to_text(answer.value());
  return result;
}

std::string Lines(const Json& json) {
  std::string text;
  AppendLines(json, "", &text);
  return text;
}

}  // namespace

CommandResult Status(const NodeTarget& node, Format format) {
  return Print(Parse(node, ClientFor(node).Get("/status")), format, &Lines);
}

CommandResult Audit(const NodeTarget& node, Format format) {
  return Print(Parse(node, ClientFor(node).Get("/audit")), format, &AuditText);
}

CommandResult Drain(const NodeTarget& node, Format format) {
  return Print(
      Parse(node, ClientFor(node).Post("/drain")), format,
      [](const Json& json) { return "drain requested\n" + Lines(json); });
}

}  // namespace boragepaddle::ctl
