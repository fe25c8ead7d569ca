#ifndef BORAGEPADDLE_DAEMON_RULE_BOOK_H_
#define BORAGEPADDLE_DAEMON_RULE_BOOK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"
#include "boragepaddle/node/call_rule.h"
#include "boragepaddle/schema/settings.h"

namespace boragepaddle::daemon {

/// Rules of one accepted configuration version, by `service/operation`.
struct Rules {
  uint64_t version = 0;
  absl::flat_hash_map<std::string, node::CallRule> operations;
};

/// Adds the rules of one member file.
void AddRules(const schema::MemberFile& file, Rules& rules);

/// Holds the rules in force. Readers take a snapshot.
class RuleBook {
 public:
  /// Installs newer rules; older ones are ignored.
  void Install(std::shared_ptr<const Rules> rules);

  std::shared_ptr<const Rules> Current() const;

  absl::optional<node::CallRule> Find(absl::string_view service,
                                      absl::string_view operation) const;

 private:
  mutable absl::Mutex mutex;
  std::shared_ptr<const Rules> current ABSL_GUARDED_BY(mutex) =
      std::make_shared<Rules>();
};

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_RULE_BOOK_H_
