#ifndef BORAGEPADDLE_TESTS_UNIT_CONFIG_FOLDERS_H_
#define BORAGEPADDLE_TESTS_UNIT_CONFIG_FOLDERS_H_

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "boragepaddle/config/merge.h"

namespace boragepaddle::config {

/// Founding members of the test folders.
inline std::vector<std::string> Founders() {
  return {"a", "b"};
}

/// Text of a member file; `approves` and `services` are the list contents.
inline std::string FileOf(absl::string_view member,
                          absl::string_view approves,
                          absl::string_view services) {
  return absl::StrCat("{\"member\": \"", member, "\", \"approves\": [",
                      approves, "], \"services\": [", services, "]}");
}

/// JSON of one service.
inline std::string Service(absl::string_view name,
                           absl::string_view operations) {
  return absl::StrCat("{\"name\": \"", name, "\", \"operations\": [",
                      operations, "]}");
}

/// JSON of one operation; `rest` starts with a comma if it is not empty.
inline std::string Operation(absl::string_view name, absl::string_view rest) {
  return absl::StrCat("{\"name\": \"", name, "\"", rest, "}");
}

/// Folder of members a and b in which a has one service `s`.
inline Folder OneService(absl::string_view operations) {
  return {{"10-a.json", FileOf("a", "", Service("s", operations))},
          {"20-b.json", FileOf("b", "", "")}};
}

/// The only fault of a folder; terminates if there is none.
inline ConfigError OnlyError(const Folder& folder) {
  const ConfigErrors errors = CheckFolder(folder, Founders());
  return errors.size() == 1 ? errors[0] : ConfigErrors().at(errors.size());
}

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_TESTS_UNIT_CONFIG_FOLDERS_H_
