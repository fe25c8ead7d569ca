#ifndef BORAGEPADDLE_CONFIG_EXPLAIN_H_
#define BORAGEPADDLE_CONFIG_EXPLAIN_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::config {

/// One key that decides about a call.
struct ExplainedKey {
  /// Key path in the file.
  std::string path;
  /// JSON text.
  std::string value;
  /// The value is the default of the schema.
  bool is_default = false;
};

/// Rule that decides about a call, and where it is written.
struct Explanation {
  std::string service;
  std::string operation;
  std::string member;
  std::string file;
  std::vector<ExplainedKey> keys;
  /// What follows from the call graph.
  bool reaches_at_most_once = false;
  bool idempotent_closure = false;
  uint32_t depth = 1;
  /// One sentence on what happens after an unknown outcome.
  std::string retry_reason;
  /// `service.operation` on a way to an at-most-once operation, both ends
  /// included; empty if there is none.
  std::vector<std::string> at_most_once_path;
};

/// Explains which rule decides about a call, and from which file it comes.
base::Result<Explanation, ConfigError> Explain(const ServiceTable& table,
                                               absl::string_view service,
                                               absl::string_view operation);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_EXPLAIN_H_
