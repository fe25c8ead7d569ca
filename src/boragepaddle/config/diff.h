#ifndef BORAGEPADDLE_CONFIG_DIFF_H_
#define BORAGEPADDLE_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "boragepaddle/config/folder.h"
#include "boragepaddle/config/parsed_folder.h"

namespace boragepaddle::config {

/// One changed key.
struct Change {
  std::string member;
  /// File that contains the key; the old file if it was removed.
  std::string file;
  /// Empty if the key is not part of a service.
  std::string service;
  /// Empty if the key is not part of an operation.
  std::string operation;
  /// Key path with names instead of indexes, such as `services[lending].slots`.
  std::string path;
  /// JSON text; empty if the key was absent or had the default value.
  std::string old_value;
  /// JSON text; empty if the key is absent or has the default value.
  std::string new_value;
};

/// Returns the changed keys, ordered by member, service, operation and key
/// path. A key with the default value counts as absent.
std::vector<Change> Diff(const Folder& from, const Folder& to);

/// As above, for files that are already parsed.
std::vector<Change> Diff(const ParsedFolder& from, const ParsedFolder& to);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_DIFF_H_
