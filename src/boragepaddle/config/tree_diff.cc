#include "boragepaddle/config/tree_diff.h"

#include <map>
#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::config {

namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns the value that identifies a list entry; empty if there is none.
std::string NameOf(const Json& entry) {
  for (const char* key : {"name", "member"}) {
    if (entry.is_object() && entry.contains(key) && entry[key].is_string()) {
      return entry[key].get<std::string>();
    }
  }
  return "";
}

bool IsListOfObjects(const Json* json) {
  return json != nullptr && json->is_array() && !json->empty() &&
         json->front().is_object();
}

bool IsBranch(const Json* json) {
  return IsListOfObjects(json) ||
         (json != nullptr && json->is_object() && !json->empty());
}

using Entries = std::map<std::string, const Json*>;

// Lists are keyed by name instead of index, so that inserting an entry does not
// change the paths of all later ones.
Entries EntriesOf(const Json* json) {
  Entries entries;
  if (IsListOfObjects(json)) {
    for (size_t index = 0; index < json->size(); ++index) {
      std::string name = NameOf((*json)[index]);
      if (name.empty() || entries.count(name) > 0) {
        absl::StrAppend(&name, "#", index);
      }
      entries[name] = &(*json)[index];
    }
  } else if (json != nullptr && json->is_object()) {
    for (const auto& item : json->items()) {
      entries[item.key()] = &item.value();
    }
  }
  return entries;
}

const Json* Find(const Entries& entries, const std::string& name) {
  const auto found = entries.find(name);
  return found == entries.end() ? nullptr : found->second;
}

// Compares two trees and descends only where they differ, as a change usually
// affects few keys of a large file.
class TreeDiff {
 public:
  // A null tree does not exist.
  TreeDiff(const FileTree* from,
           const FileTree* to,
           std::vector<Change>* changes)
      : from(from), to(to), changes(changes) {}

  void Run() {
    if (this->from != nullptr && this->to != nullptr &&
        this->from->name != this->to->name) {
      this->Add("(file name)", this->from->name, this->to->name);
    }
    this->Compare(this->from == nullptr ? nullptr : &this->from->json,
                  this->to == nullptr ? nullptr : &this->to->json, "", "");
  }

 private:
  void Compare(const Json* old_json,
               const Json* new_json,
               const std::string& key,
               const std::string& path) {
    if (old_json != nullptr && new_json != nullptr && *old_json == *new_json) {
      return;
    }
    if (!IsBranch(old_json) && !IsBranch(new_json)) {
      this->Add(path, old_json == nullptr ? "" : Dump(*old_json),
                new_json == nullptr ? "" : Dump(*new_json));
      return;
    }
    this->AddReplaced(old_json, new_json, path);
    const bool is_list = IsListOfObjects(old_json) || IsListOfObjects(new_json);
    const Entries old_entries = EntriesOf(old_json);
    const Entries new_entries = EntriesOf(new_json);
    Entries all = old_entries;
    all.insert(new_entries.begin(), new_entries.end());
    for (const auto& [name, entry] : all) {
      this->CompareEntry(Find(old_entries, name), Find(new_entries, name),
                         is_list ? key : "", name, path);
    }
  }

  // `list` is the key of the list that contains the entry; empty if the entry
  // is a key of an object.
  void CompareEntry(const Json* old_json,
                    const Json* new_json,
                    const std::string& list,
                    const std::string& name,
                    const std::string& path) {
    if (list.empty()) {
      this->Compare(old_json, new_json, name,
                    path.empty() ? name : absl::StrCat(path, ".", name));
      return;
    }
    std::string* scope = list == "services"     ? &this->service
                         : list == "operations" ? &this->operation
                                                : nullptr;
    if (scope != nullptr) {
      *scope = name;
    }
    this->Compare(old_json, new_json, "", absl::StrCat(path, "[", name, "]"));
    if (scope != nullptr) {
      scope->clear();
    }
  }

  // Reports a scalar value that was replaced by a list or object, or vice
  // versa. The keys of the list or object are reported individually.
  void AddReplaced(const Json* old_json,
                   const Json* new_json,
                   const std::string& path) {
    if (old_json != nullptr && !IsBranch(old_json) && !old_json->empty()) {
      this->Add(path, Dump(*old_json), "");
    }
    if (new_json != nullptr && !IsBranch(new_json) && !new_json->empty()) {
      this->Add(path, "", Dump(*new_json));
    }
  }

  void Add(const std::string& path,
           std::string old_value,
           std::string new_value) {
    const FileTree& file = this->to != nullptr ? *this->to : *this->from;
    this->changes->push_back({file.member, file.name, this->service,
                              this->operation, path, std::move(old_value),
                              std::move(new_value)});
  }

  const FileTree* from;
  const FileTree* to;
  std::vector<Change>* changes;
  std::string service;
  std::string operation;
};

}  // namespace

void DiffTrees(const FileTree* from,
               const FileTree* to,
               std::vector<Change>* changes) {
  TreeDiff(from, to, changes).Run();
}

}  // namespace boragepaddle::config
