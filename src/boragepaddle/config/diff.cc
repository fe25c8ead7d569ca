#include "boragepaddle/config/diff.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boragepaddle/schema/json_reader.h"

namespace boragepaddle::config {

namespace {

struct Leaf {
  std::string service;
  std::string operation;
  std::string value;
};

// Leaves of one file by key path.
struct FlatFile {
  std::string name;
  std::string member;
  std::map<std::string, Leaf> leaves;
};

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Stands for a text that is not JSON and may be as large as a file.
std::string Summary(const std::string& text) {
  const uint64_t digest = DigestOf({{"", text}});
  return absl::StrCat("(not JSON: ", text.size(), " bytes, digest ",
                      absl::Hex(digest, absl::kZeroPad16), ")");
}

// Returns the value that identifies an entry of a list; empty if there is
// none.
std::string NameOf(const nlohmann::json& entry) {
  for (const char* key : {"name", "member"}) {
    if (entry.is_object() && entry.contains(key) && entry[key].is_string()) {
      return entry[key].get<std::string>();
    }
  }
  return "";
}

bool IsListOfObjects(const nlohmann::json& json) {
  return json.is_array() && !json.empty() && json.front().is_object();
}

class Flattener {
 public:
  explicit Flattener(FlatFile* out) : out(out) {}

  void AddObject(const nlohmann::json& json, const std::string& path) {
    for (const auto& item : json.items()) {
      const std::string key =
          path.empty() ? item.key() : absl::StrCat(path, ".", item.key());
      if (IsListOfObjects(item.value())) {
        this->AddList(item.value(), item.key(), key);
      } else {
        this->AddLeaf(key, item.value());
      }
    }
  }

 private:
  void AddLeaf(const std::string& path, const nlohmann::json& value) {
    this->out->leaves[path] = {this->service, this->operation, Dump(value)};
  }

  // Names replace positions in paths, so that an entry added in front does
  // not change the paths of all the others.
  void AddList(const nlohmann::json& list,
               const std::string& list_key,
               const std::string& path) {
    for (size_t index = 0; index < list.size(); ++index) {
      std::string name = NameOf(list[index]);
      if (name.empty()) {
        name = absl::StrCat(index);
      }
      std::string key = absl::StrCat(path, "[", name, "]");
      while (this->keys[key]++ > 0) {
        absl::StrAppend(&key, "#", index);
      }
      if (!list[index].is_object()) {
        this->AddLeaf(key, list[index]);
        continue;
      }
      std::string* scope = list_key == "services"     ? &this->service
                           : list_key == "operations" ? &this->operation
                                                      : nullptr;
      if (scope != nullptr) {
        *scope = name;
      }
      this->AddObject(list[index], key);
      if (scope != nullptr) {
        scope->clear();
      }
    }
  }

  FlatFile* out;
  std::string service;
  std::string operation;
  std::map<std::string, int> keys;
};

FlatFile Flatten(const std::string& name, const std::string& text) {
  FlatFile flat;
  flat.name = name;
  nlohmann::json json;
  schema::SettingsErrors ignored;
  if (!schema::ParseJson(name, text, &json, &ignored) || !json.is_object()) {
    flat.leaves[""] = {"", "", Summary(text)};
    return flat;
  }
  if (json.contains("member") && json["member"].is_string()) {
    flat.member = json["member"].get<std::string>();
  }
  Flattener(&flat).AddObject(json, "");
  return flat;
}

// Files that differ, by member, or by file name if the member is unknown or
// has two files.
std::map<std::string, FlatFile> FlattenChanged(const Folder& folder,
                                               const Folder& other) {
  std::map<std::string, FlatFile> files;
  for (const auto& [name, text] : folder) {
    const auto same = other.find(name);
    if (same != other.end() && same->second == text) {
      continue;
    }
    FlatFile flat = Flatten(name, text);
    std::string key =
        flat.member.empty() ? absl::StrCat("/", name) : flat.member;
    if (files.count(key) > 0) {
      key = absl::StrCat("/", name);
    }
    files.emplace(std::move(key), std::move(flat));
  }
  return files;
}

const Leaf* FindLeaf(const FlatFile& file, const std::string& path) {
  const auto found = file.leaves.find(path);
  return found == file.leaves.end() ? nullptr : &found->second;
}

void AddChange(const FlatFile& from,
               const FlatFile& to,
               const std::string& path,
               std::vector<Change>* changes) {
  const Leaf* old_leaf = FindLeaf(from, path);
  const Leaf* new_leaf = FindLeaf(to, path);
  if (old_leaf != nullptr && new_leaf != nullptr &&
      old_leaf->value == new_leaf->value) {
    return;
  }
  const Leaf& leaf = new_leaf != nullptr ? *new_leaf : *old_leaf;
  Change change;
  change.member = to.member.empty() ? from.member : to.member;
  change.file = to.name.empty() ? from.name : to.name;
  change.service = leaf.service;
  change.operation = leaf.operation;
  change.path = path;
  change.old_value = old_leaf == nullptr ? "" : old_leaf->value;
  change.new_value = new_leaf == nullptr ? "" : new_leaf->value;
  changes->push_back(std::move(change));
}

void DiffFile(const FlatFile& from,
              const FlatFile& to,
              std::vector<Change>* changes) {
  if (!from.name.empty() && !to.name.empty() && from.name != to.name) {
    changes->push_back(
        {to.member, to.name, "", "", "(file name)", from.name, to.name});
  }
  std::map<std::string, Leaf> paths = from.leaves;
  paths.insert(to.leaves.begin(), to.leaves.end());
  for (const auto& [path, leaf] : paths) {
    AddChange(from, to, path, changes);
  }
}

}  // namespace

std::vector<Change> Diff(const Folder& from, const Folder& to) {
  const std::map<std::string, FlatFile> old_files = FlattenChanged(from, to);
  const std::map<std::string, FlatFile> new_files = FlattenChanged(to, from);
  std::map<std::string, std::pair<const FlatFile*, const FlatFile*>> pairs;
  for (const auto& [key, file] : old_files) {
    pairs[key].first = &file;
  }
  for (const auto& [key, file] : new_files) {
    pairs[key].second = &file;
  }
  const FlatFile none;
  std::vector<Change> changes;
  for (const auto& [key, pair] : pairs) {
    DiffFile(pair.first == nullptr ? none : *pair.first,
             pair.second == nullptr ? none : *pair.second, &changes);
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const Change& a, const Change& b) {
                     return std::tie(a.member, a.service, a.operation) <
                            std::tie(b.member, b.service, b.operation);
                   });
  return changes;
}

}  // namespace boragepaddle::config
