#ifndef BORAGEPADDLE_CONFIG_TREE_DIFF_H_
#define BORAGEPADDLE_CONFIG_TREE_DIFF_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "boragepaddle/config/diff.h"

namespace boragepaddle::config {

/// One version of a member file as JSON.
struct FileTree {
  std::string name;
  std::string member;
  nlohmann::json json;
};

/// Appends the changed keys. A null tree is a file that does not exist.
void DiffTrees(const FileTree* from,
               const FileTree* to,
               std::vector<Change>* changes);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_TREE_DIFF_H_
