#ifndef BORAGEPADDLE_CONFIG_FOLDER_H_
#define BORAGEPADDLE_CONFIG_FOLDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::config {

/// Member files: text by file name, in the order in which they are merged.
using Folder = std::map<std::string, std::string>;

/// Digest of all names and texts; equal on every node and every build.
uint64_t DigestOf(const Folder& folder);

/// Returns the folder after the changes, in which `removed` deletes a file.
Folder ApplyFiles(Folder base, absl::Span<const schema::FileText> changes);

/// Returns the changes that turn `from` into `to`, in the order of file names.
std::vector<schema::FileText> ChangedFiles(const Folder& from,
                                           const Folder& to);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_FOLDER_H_
