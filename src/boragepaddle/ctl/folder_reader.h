#ifndef BORAGEPADDLE_CTL_FOLDER_READER_H_
#define BORAGEPADDLE_CTL_FOLDER_READER_H_

#include <string>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config/folder.h"

namespace boragepaddle::ctl {

/// A file or folder that cannot be read.
struct ReadError {
  std::string path;
  /// Error message, usually of the operating system.
  std::string reason;
};

/// Reads one file.
base::Result<std::string, ReadError> ReadFile(absl::string_view path);

/// Reads the files of a folder whose names end in `.json`.
base::Result<config::Folder, ReadError> ReadFolder(absl::string_view path);

/// Formats the error as one line.
std::string Describe(const ReadError& error);

}  // namespace boragepaddle::ctl

#endif  // BORAGEPADDLE_CTL_FOLDER_READER_H_
