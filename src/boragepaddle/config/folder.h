#ifndef BORAGEPADDLE_CONFIG_FOLDER_H_
#define BORAGEPADDLE_CONFIG_FOLDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::config {

/// Member files: text by file name, in merge order.
using Folder = std::map<std::string, std::string>;

/// Digest of all names and texts; the same on every node and in every build.
uint64_t DigestOf(const Folder& folder);

/// Returns the folder with the changes applied. A change with `removed` set
/// deletes the file.
Folder ApplyFiles(Folder base, absl::Span<const schema::FileText> changes);

/// Returns the changes that turn `from` into `to`, sorted by file name.
std::vector<schema::FileText> ChangedFiles(const Folder& from,
                                           const Folder& to);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_FOLDER_H_
