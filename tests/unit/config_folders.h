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

/// Returns a member file; `approves` and `services` are the list contents.
inline std::string FileOf(absl::string_view member,
                          absl::string_view approves,
                          absl::string_view services) {
  return absl::StrCat("{\"member\": \"", member, "\", \"approves\": [",
                      approves, "], \"services\": [", services, "]}");
}

/// Returns the JSON of a service.
inline std::string Service(absl::string_view name,
                           absl::string_view operations) {
  return absl::StrCat("{\"name\": \"", name, "\", \"operations\": [",
                      operations, "]}");
}

/// Returns the JSON of an operation; a non-empty `rest` starts with a comma.
inline std::string Operation(absl::string_view name, absl::string_view rest) {
  return absl::StrCat("{\"name\": \"", name, "\"", rest, "}");
}

/// Returns a folder of members a and b, in which a declares a service `s`.
inline Folder OneService(absl::string_view operations) {
  return {{"10-a.json", FileOf("a", "", Service("s", operations))},
          {"20-b.json", FileOf("b", "", "")}};
}

/// Returns the only error of a folder; throws unless there is exactly one.
inline ConfigError OnlyError(const Folder& folder) {
  const ConfigErrors errors = CheckFolder(folder, Founders());
  return errors.size() == 1 ? errors[0] : ConfigErrors().at(errors.size());
}

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_TESTS_UNIT_CONFIG_FOLDERS_H_
