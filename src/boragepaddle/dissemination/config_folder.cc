#include "boragepaddle/dissemination/config_folder.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/string_view.h"
#include "boragepaddle/membership/stable_hash.h"

namespace boragepaddle::dissemination {
namespace {

using membership::VersionError;
using membership::VersionErrorCode;

bool LessByName(const schema::FileText& a, const schema::FileText& b) {
  return a.name < b.name;
}

bool SameName(const schema::FileText& a, const schema::FileText& b) {
  return a.name == b.name;
}

const schema::FileText* FindFile(const ConfigFolder& folder,
                                 absl::string_view name) {
  const auto found =
      std::lower_bound(folder.files.begin(), folder.files.end(), name,
                       [](const schema::FileText& file, absl::string_view key) {
                         return file.name < key;
                       });
  return found != folder.files.end() && found->name == name ? &*found : nullptr;
}

}  // namespace

base::Result<ConfigFolderPtr, VersionError> MakeFolder(
    uint64_t version,
    std::vector<schema::FileText> files) {
  std::sort(files.begin(), files.end(), &LessByName);
  if (std::adjacent_find(files.begin(), files.end(), &SameName) !=
      files.end()) {
    return VersionError{VersionErrorCode::kDuplicateEntry, version};
  }
  auto folder = std::make_shared<ConfigFolder>();
  folder->version = version;
  folder->files = std::move(files);
  folder->digest = membership::DigestOf(absl::MakeConstSpan(folder->files));
  return ConfigFolderPtr(std::move(folder));
}

base::Result<ConfigFolderPtr, VersionError> ApplyDelta(
    const ConfigFolder& folder,
    const schema::ConfigDelta& delta) {
  if (delta.from_version > folder.version) {
    return VersionError{VersionErrorCode::kMissingBase, delta.to_version};
  }
  std::map<absl::string_view, const schema::FileText*> merged;
  if (delta.from_version != 0) {
    for (const schema::FileText& file : folder.files) {
      merged[file.name] = &file;
    }
  }
  for (const schema::FileText& file : delta.files) {
    merged[file.name] = &file;
  }
  std::vector<schema::FileText> files;
  for (const auto& [name, file] : merged) {
    if (!file->removed) {
      files.push_back(*file);
    }
  }
  auto made = MakeFolder(delta.to_version, std::move(files));
  if (made.has_value() && made.value()->digest != delta.digest) {
    return VersionError{VersionErrorCode::kDigestMismatch, delta.to_version,
                        made.value()->digest, delta.digest};
  }
  return made;
}

std::vector<std::string> ChangedNames(const ConfigFolder& from,
                                      const ConfigFolder& to) {
  std::map<absl::string_view, absl::string_view> before;
  for (const schema::FileText& file : from.files) {
    before[file.name] = file.text;
  }
  std::vector<std::string> names;
  for (const schema::FileText& file : to.files) {
    const auto found = before.find(file.name);
    if (found == before.end() || found->second != file.text) {
      names.push_back(file.name);
    }
    if (found != before.end()) {
      before.erase(found);
    }
  }
  for (const auto& [name, text] : before) {
    names.emplace_back(name);
  }
  return names;
}

schema::ConfigDelta MakeDelta(const ConfigFolder& folder,
                              const membership::ChangeLog& log,
                              uint64_t from_version) {
  schema::ConfigDelta delta;
  delta.to_version = folder.version;
  delta.digest = folder.digest;
  const auto names = from_version == 0
                         ? std::nullopt
                         : membership::NamesSince(log, from_version);
  if (!names.has_value()) {
    delta.files = folder.files;
    return delta;
  }
  delta.from_version = from_version;
  for (const std::string& name : *names) {
    const schema::FileText* file = FindFile(folder, name);
    delta.files.push_back(file != nullptr ? *file
                                          : schema::FileText{name, "", true});
  }
  return delta;
}

}  // namespace boragepaddle::dissemination
