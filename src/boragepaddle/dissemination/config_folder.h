#ifndef BORAGEPADDLE_DISSEMINATION_CONFIG_FOLDER_H_
#define BORAGEPADDLE_DISSEMINATION_CONFIG_FOLDER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "boragepaddle/base/result.h"
#include "boragepaddle/config/folder.h"
#include "boragepaddle/membership/change_log.h"
#include "boragepaddle/membership/version_error.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::dissemination {

/// One version of the configuration folder. Immutable, so that it can be shared
/// between threads.
struct ConfigFolder {
  uint64_t version = 0;
  uint64_t digest = 0;
  config::Folder files;
};

using ConfigFolderPtr = std::shared_ptr<const ConfigFolder>;

/// Makes a folder and computes its digest.
ConfigFolderPtr MakeFolder(uint64_t version, config::Folder files);

/// Applies a delta to a folder. The delta may start at or before the folder's
/// version, but not after it. The result must have the delta's digest.
base::Result<ConfigFolderPtr, membership::VersionError> ApplyDelta(
    const ConfigFolder& folder,
    const schema::ConfigDelta& delta);

/// Names of files that differ between two folders.
std::vector<std::string> ChangedNames(const ConfigFolder& from,
                                      const ConfigFolder& to);

/// Delta from a version to `folder`; contains all files if the log does not
/// reach back to that version.
schema::ConfigDelta MakeDelta(const ConfigFolder& folder,
                              const membership::ChangeLog& log,
                              uint64_t from_version);

}  // namespace boragepaddle::dissemination

#endif  // BORAGEPADDLE_DISSEMINATION_CONFIG_FOLDER_H_
