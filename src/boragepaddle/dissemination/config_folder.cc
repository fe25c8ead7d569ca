#include "boragepaddle/dissemination/config_folder.h"

#include <optional>
#include <utility>

namespace boragepaddle::dissemination {

using membership::VersionError;
using membership::VersionErrorCode;

ConfigFolderPtr MakeFolder(uint64_t version, config::Folder files) {
  auto folder = std::make_shared<ConfigFolder>();
  folder->version = version;
  folder->digest = config::DigestOf(files);
  folder->files = std::move(files);
  return folder;
}

base::Result<ConfigFolderPtr, VersionError> ApplyDelta(
    const ConfigFolder& folder,
    const schema::ConfigDelta& delta) {
  if (delta.from_version > folder.version) {
    return VersionError{VersionErrorCode::kMissingBase, delta.to_version};
  }
  config::Folder base;
  if (delta.from_version != 0) {
    base = folder.files;
  }
  ConfigFolderPtr made = MakeFolder(
      delta.to_version, config::ApplyFiles(std::move(base), delta.files));
  if (made->digest != delta.digest) {
    return VersionError{VersionErrorCode::kDigestMismatch, delta.to_version,
                        made->digest, delta.digest};
  }
  return made;
}

std::vector<std::string> ChangedNames(const ConfigFolder& from,
                                      const ConfigFolder& to) {
  std::vector<std::string> names;
  for (schema::FileText& file : config::ChangedFiles(from.files, to.files)) {
    names.push_back(std::move(file.name));
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
    delta.files = config::ChangedFiles(config::Folder(), folder.files);
    return delta;
  }
  delta.from_version = from_version;
  for (const std::string& name : *names) {
    const auto found = folder.files.find(name);
    const bool removed = found == folder.files.end();
    delta.files.push_back({name, removed ? "" : found->second, removed});
  }
  return delta;
}

}  // namespace boragepaddle::dissemination
