#ifndef BORAGEPADDLE_CTL_FOLDER_COMMANDS_H_
#define BORAGEPADDLE_CTL_FOLDER_COMMANDS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/config/folder.h"
#include "boragepaddle/ctl/command_result.h"

namespace boragepaddle::ctl {

/// Prints the verdict, the members and all faults; `kNegativeResult` if
/// refused.
CommandResult Check(const config::Folder& folder,
                    absl::Span<const std::string> founding_members,
                    Format format);

/// Prints the merged rules; the faults and `kNegativeResult` if refused.
CommandResult Merge(const config::Folder& folder,
                    absl::Span<const std::string> founding_members,
                    Format format);

/// Prints the rule that decides about `call`, which is `service.operation`.
CommandResult ExplainCall(const config::Folder& folder,
                          absl::Span<const std::string> founding_members,
                          absl::string_view call,
                          Format format);

/// Prints the changed keys; `kNegativeResult` if there are any.
CommandResult DiffFolders(const config::Folder& from,
                          const config::Folder& to,
                          Format format);

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_FOLDER_COMMANDS_H_
