#ifndef BORAGEPADDLE_CONFIG_MERGE_H_
#define BORAGEPADDLE_CONFIG_MERGE_H_

#include <memory>
#include <string>

#include "absl/types/span.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/folder.h"
#include "boragepaddle/config/parsed_folder.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::config {

using TableResult =
    base::Result<std::shared_ptr<const ServiceTable>, ConfigErrors>;

/// Merges and checks the member files. The result depends only on the
/// arguments. On failure, returns all errors, sorted by file name.
TableResult MergeFolder(const Folder& folder,
                        absl::Span<const std::string> founding_members);

/// As above, for files that are already parsed.
TableResult MergeParsed(const ParsedFolder& folder,
                        absl::Span<const std::string> founding_members);

/// Returns the errors of the folder; empty if it would be accepted.
ConfigErrors CheckFolder(const Folder& folder,
                         absl::Span<const std::string> founding_members);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_MERGE_H_
