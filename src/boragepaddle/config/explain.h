#ifndef BORAGEPADDLE_CONFIG_EXPLAIN_H_
#define BORAGEPADDLE_CONFIG_EXPLAIN_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/config/config_error.h"
#include "boragepaddle/config/service_table.h"

namespace boragepaddle::config {

/// One key that applies to a call.
struct ExplainedKey {
  /// Key path in the file.
  std::string path;
  /// JSON text.
  std::string value;
  /// The value is the default of the schema.
  bool is_default = false;
};

/// Rules that apply to calls of an operation, and where they are declared.
struct Explanation {
  std::string service;
  std::string operation;
  std::string member;
  std::string file;
  std::vector<ExplainedKey> keys;
  /// Derived from the call graph; see `OperationEntry`.
  bool reaches_at_most_once = false;
  bool idempotent_closure = false;
  uint32_t depth = 1;
  /// One sentence that explains what happens after an unknown outcome.
  std::string retry_reason;
  /// Chain of `service.operation` names to an at-most-once operation, including
  /// both ends; empty if there is none.
  std::vector<std::string> at_most_once_path;
};

/// Explains which rules apply to an operation, and which file declares them.
base::Result<Explanation, ConfigError> Explain(const ServiceTable& table,
                                               absl::string_view service,
                                               absl::string_view operation);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_EXPLAIN_H_
