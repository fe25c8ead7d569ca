#ifndef BORAGEPADDLE_DAEMON_RULE_BOOK_H_
#define BORAGEPADDLE_DAEMON_RULE_BOOK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "boragepaddle/config/operation_name.h"
#include "boragepaddle/config/versioned_config.h"
#include "boragepaddle/daemon/logger.h"
#include "boragepaddle/node/call_rule.h"

namespace boragepaddle::daemon {

/// The configuration in force on this node, shared by all threads.
class RuleBook {
 public:
  explicit RuleBook(std::vector<std::string> founding_members);

  /// Offers a complete configuration folder; see `config::VersionedConfig`.
  config::OfferResult Offer(uint64_t version, config::Folder folder);

  /// Offers changes to the version in force.
  config::OfferResult OfferDelta(uint64_t version,
                                 uint64_t digest,
                                 absl::Span<const schema::FileText> changes);

  /// Never null.
  std::shared_ptr<const config::ConfigSnapshot> Current() const;

  absl::optional<node::CallRule> Find(absl::string_view service,
                                      absl::string_view operation) const;

  /// Operations that the operation may call; empty if it is unknown.
  std::vector<config::OperationName> CalleesOf(
      absl::string_view service,
      absl::string_view operation) const;

  /// The audit trail as JSON.
  std::string AuditJson() const;

 private:
  /// Writes the audit entries that were added since the last call to the log.
  void LogAudit() ABSL_EXCLUSIVE_LOCKS_REQUIRED(config_mutex);

  const Logger log{"audit"};
  // Separate lock, because validating a folder can take long.
  mutable absl::Mutex config_mutex;
  config::VersionedConfig versions ABSL_GUARDED_BY(config_mutex);
  uint64_t logged_entries ABSL_GUARDED_BY(config_mutex) = 0;
  mutable absl::Mutex snapshot_mutex;
  std::shared_ptr<const config::ConfigSnapshot> snapshot
      ABSL_GUARDED_BY(snapshot_mutex);
};

/// Returns the rule of an operation as the call path uses it.
node::CallRule ToCallRule(const config::ServiceTable& table,
                          const config::OperationEntry& operation);

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_RULE_BOOK_H_
