#include "boragepaddle/ctl/folder_commands.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "boragepaddle/config/diff.h"
#include "boragepaddle/config/explain.h"
#include "boragepaddle/config/merge.h"
#include "boragepaddle/ctl/render.h"

namespace boragepaddle::ctl {

namespace {

CommandResult Refused(const config::Folder& folder,
                      const config::ConfigErrors& errors,
                      Format format) {
  CommandResult result;
  result.code = ExitCode::kNegativeResult;
  if (format == Format::kJson) {
    result.output = JsonText({{"accepted", false},
                              {"digest", DigestText(config::DigestOf(folder))},
                              {"faults", ToJson(errors)}});
    return result;
  }
  for (const config::ConfigError& error : errors) {
    absl::StrAppend(&result.output, Describe(error), "\n");
  }
  absl::StrAppend(&result.output, "refused: ", errors.size(),
                  errors.size() == 1 ? " fault\n" : " faults\n");
  return result;
}

CommandResult NoRule(const config::ConfigError& error, Format format) {
  CommandResult result;
  result.code = ExitCode::kNegativeResult;
  result.output =
      format == Format::kJson
          ? JsonText({{"faults", ToJson(config::ConfigErrors{error})}})
          : Describe(error) + "\n";
  return result;
}

Json AcceptedJson(const config::Folder& folder,
                  const config::ServiceTable& table) {
  Json json = {{"accepted", true},
               {"digest", DigestText(config::DigestOf(folder))}};
  AddMembership(table.GetMembership(), &json);
  return json;
}

std::string AcceptedLine(const config::Folder& folder,
                         const config::ServiceTable& table) {
  return absl::StrCat("accepted: ", table.GetMembership().members.size(),
                      " members, ", table.Services().size(), " services, ",
                      table.Operations().size(), " operations, digest ",
                      DigestText(config::DigestOf(folder)), "\n");
}

}  // namespace

CommandResult Check(const config::Folder& folder,
                    absl::Span<const std::string> founding_members,
                    Format format) {
  const config::TableResult merged =
      config::MergeFolder(folder, founding_members);
  if (!merged.has_value()) {
    return Refused(folder, merged.error(), format);
  }
  const config::ServiceTable& table = *merged.value();
  CommandResult result;
  if (format == Format::kJson) {
    Json json = AcceptedJson(folder, table);
    json["services"] = table.Services().size();
    json["operations"] = table.Operations().size();
    json["faults"] = Json::array();
    result.output = JsonText(json);
  } else {
    result.output = ToText(table.GetMembership()) + AcceptedLine(folder, table);
  }
  return result;
}

CommandResult Merge(const config::Folder& folder,
                    absl::Span<const std::string> founding_members,
                    Format format) {
  const config::TableResult merged =
      config::MergeFolder(folder, founding_members);
  if (!merged.has_value()) {
    return Refused(folder, merged.error(), format);
  }
  const config::ServiceTable& table = *merged.value();
  CommandResult result;
  if (format == Format::kJson) {
    Json json = AcceptedJson(folder, table);
    json["services"] = ToJson(table);
    result.output = JsonText(json);
  } else {
    result.output = absl::StrCat(ToText(table.GetMembership()), ToText(table),
                                 AcceptedLine(folder, table));
  }
  return result;
}

CommandResult ExplainCall(const config::Folder& folder,
                          absl::Span<const std::string> founding_members,
                          absl::string_view call,
                          Format format) {
  const config::TableResult merged =
      config::MergeFolder(folder, founding_members);
  if (!merged.has_value()) {
    return Refused(folder, merged.error(), format);
  }
  const size_t dot = call.find('.');
  const absl::string_view service = call.substr(0, dot);
  const absl::string_view operation =
      dot == absl::string_view::npos ? "" : call.substr(dot + 1);
  const auto explanation = config::Explain(*merged.value(), service, operation);
  if (!explanation.has_value()) {
    return NoRule(explanation.error(), format);
  }
  CommandResult result;
  result.output = format == Format::kJson
                      ? JsonText(ToJson(explanation.value()))
                      : ToText(explanation.value());
  return result;
}

CommandResult DiffFolders(const config::Folder& from,
                          const config::Folder& to,
                          Format format) {
  const std::vector<config::Change> changes = config::Diff(from, to);
  CommandResult result;
  result.code = changes.empty() ? ExitCode::kOk : ExitCode::kNegativeResult;
  result.output = format == Format::kJson
                      ? JsonText({{"changes", ToJson(changes)}})
                      : ToText(changes);
  return result;
}

}  // namespace boragepaddle::ctl
