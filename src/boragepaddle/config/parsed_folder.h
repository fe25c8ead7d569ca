#ifndef BORAGEPADDLE_CONFIG_PARSED_FOLDER_H_
#define BORAGEPADDLE_CONFIG_PARSED_FOLDER_H_

#include <map>
#include <memory>
#include <string>

#include "boragepaddle/config/folder.h"
#include "boragepaddle/schema/settings.h"

namespace boragepaddle::config {

/// One file of the folder after reading.
struct ParsedFile {
  std::string name;
  std::string text;
  /// Member that the file claims; empty if that cannot be read.
  std::string member;
  /// Content; meaningful only if there are no errors.
  schema::MemberFile content;
  schema::SettingsErrors errors;
};

/// Parsed files by file name.
using ParsedFolder = std::map<std::string, std::shared_ptr<const ParsedFile>>;

/// Parses all files. Files with the same name and text in `previous` are
/// shared instead of parsed again.
ParsedFolder ParseFolder(const Folder& folder, const ParsedFolder& previous);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_PARSED_FOLDER_H_
