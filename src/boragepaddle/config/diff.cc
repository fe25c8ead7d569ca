#include "boragepaddle/config/diff.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "boragepaddle/config/rule_keys.h"
#include "boragepaddle/config/tree_diff.h"
#include "boragepaddle/schema/json_reader.h"

namespace boragepaddle::config {

namespace {

using Json = nlohmann::json;

// Two versions of one member's file; null if it does not exist.
struct FilePair {
  const ParsedFile* from = nullptr;
  const ParsedFile* to = nullptr;
};

// Stands for a text that is not JSON and may be as large as a file.
std::string Summary(const std::string& text) {
  const uint64_t digest = DigestOf({{"", text}});
  return absl::StrCat("(not JSON: ", text.size(), " bytes, digest ",
                      absl::Hex(digest, absl::kZeroPad16), ")");
}

bool IsValid(const ParsedFile* file) {
  return file == nullptr || file->errors.empty();
}

// The file as written, for a file with errors.
FileTree RawTree(const ParsedFile& file) {
  FileTree tree = {file.name, file.member, Json()};
  schema::SettingsErrors ignored;
  if (!schema::ParseJson(file.name, file.text, &tree.json, &ignored)) {
    tree.json = Summary(file.text);
  }
  return tree;
}

using Services = absl::flat_hash_map<std::string, const schema::ServiceRule*>;

Services ServicesOf(const ParsedFile* file) {
  Services services;
  if (file != nullptr) {
    for (const schema::ServiceRule& service : file->content.services) {
      services.emplace(service.name, &service);
    }
  }
  return services;
}

// The content without the services that are the same in `other`: parsing the
// whole text again costs several times as much as checking the folder.
FileTree ReducedTree(const ParsedFile& file, const ParsedFile* other) {
  FileTree tree = {file.name, file.member, {{"member", file.member}}};
  for (const schema::Approval& approval : file.content.approves) {
    tree.json["approves"].push_back(
        {{"member", approval.member}, {"order", approval.order}});
  }
  const Services others = ServicesOf(other);
  for (const schema::ServiceRule& service : file.content.services) {
    const auto same = others.find(service.name);
    if (same == others.end() || *same->second != service) {
      tree.json["services"].push_back(ToJson(service));
    }
  }
  return tree;
}

void DiffFile(const FilePair& pair, std::vector<Change>* changes) {
  const bool valid = IsValid(pair.from) && IsValid(pair.to);
  const auto tree_of = [&](const ParsedFile* file, const ParsedFile* other) {
    if (file == nullptr) {
      return FileTree();
    }
    return valid ? ReducedTree(*file, other) : RawTree(*file);
  };
  const FileTree from = tree_of(pair.from, pair.to);
  const FileTree to = tree_of(pair.to, pair.from);
  DiffTrees(pair.from == nullptr ? nullptr : &from,
            pair.to == nullptr ? nullptr : &to, changes);
}

// Files that differ, by member, or by file name if the member is unknown or
// has two files.
std::map<std::string, const ParsedFile*> ChangedIn(const ParsedFolder& folder,
                                                   const ParsedFolder& other) {
  std::map<std::string, const ParsedFile*> files;
  for (const auto& [name, file] : folder) {
    const auto same = other.find(name);
    if (same != other.end() &&
        (same->second == file || same->second->text == file->text)) {
      continue;
    }
    const std::string by_name = absl::StrCat("/", name);
    const bool unique = !file->member.empty() && files.count(file->member) == 0;
    files.emplace(unique ? file->member : by_name, file.get());
  }
  return files;
}

}  // namespace

std::vector<Change> Diff(const ParsedFolder& from, const ParsedFolder& to) {
  std::map<std::string, FilePair> pairs;
  for (const auto& [key, file] : ChangedIn(from, to)) {
    pairs[key].from = file;
  }
  for (const auto& [key, file] : ChangedIn(to, from)) {
    pairs[key].to = file;
  }
  std::vector<Change> changes;
  for (const auto& [key, pair] : pairs) {
    DiffFile(pair, &changes);
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const Change& a, const Change& b) {
                     return std::tie(a.member, a.service, a.operation) <
                            std::tie(b.member, b.service, b.operation);
                   });
  return changes;
}

std::vector<Change> Diff(const Folder& from, const Folder& to) {
  const ParsedFolder old_files = ParseFolder(from, {});
  return Diff(old_files, ParseFolder(to, old_files));
}

}  // namespace boragepaddle::config
