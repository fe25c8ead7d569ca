#include "boragepaddle/config/parsed_folder.h"

#include <utility>

#include "boragepaddle/schema/json_reader.h"

namespace boragepaddle::config {

namespace {

// A file with errors still has an owner if its `member` key can be read: the
// errors of a candidate's file must not refuse the whole folder.
std::string ClaimedMember(const ParsedFile& file) {
  nlohmann::json json;
  schema::SettingsErrors ignored;
  if (!schema::ParseJson(file.name, file.text, &json, &ignored) ||
      !json.is_object()) {
    return "";
  }
  const auto found = json.find("member");
  if (found == json.end() || !found->is_string()) {
    return "";
  }
  return found->get<std::string>();
}

std::shared_ptr<const ParsedFile> ParseFile(const std::string& name,
                                            const std::string& text) {
  auto file = std::make_shared<ParsedFile>();
  file->name = name;
  file->text = text;
  auto content = schema::ReadMemberFile(name, text);
  if (content.has_value()) {
    file->content = std::move(content).value();
    file->member = file->content.member;
  } else {
    file->errors = std::move(content).error();
    file->member = ClaimedMember(*file);
  }
  return file;
}

}  // namespace

ParsedFolder ParseFolder(const Folder& folder, const ParsedFolder& previous) {
  ParsedFolder parsed;
  for (const auto& [name, text] : folder) {
    const auto known = previous.find(name);
    const bool unchanged =
        known != previous.end() && known->second->text == text;
    parsed[name] = unchanged ? known->second : ParseFile(name, text);
  }
  return parsed;
}

}  // namespace boragepaddle::config
