#ifndef BORAGEPADDLE_PROXY_STORE_STATE_H_
#define BORAGEPADDLE_PROXY_STORE_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "boragepaddle/base/store_position.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/proxy/dialect.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::proxy {

/// Effect of one item of the store, for the log.
struct StoreChange {
  enum class Kind : uint8_t {
    kConfigAccepted,
    kConfigRefused,
    /// A newer version, which the store has lost, stays in force.
    kConfigRetained,
    kWorkerListed,
    kWorkerRemoved,
    kEntryIgnored,
    kUnchanged,
  };
  Kind kind = Kind::kEntryIgnored;
  std::string key;
  base::StorePosition position;
  std::string detail;
};

/// What the store has instead of the version in force, which it has lost.
struct LostConfig {
  /// An older version, or the removal of the configuration.
  schema::KeyValue store_item;
  base::StorePosition store_position;
  /// Time from which on the lost version could have been written again.
  absl::Time since;
};

/// Decoded content of the store: the routes in force and the workers.
struct StoreState {
  StoreDialect dialect;
  /// Era of the store whose items were applied last.
  uint64_t era = 0;
  /// Null before the first configuration.
  std::shared_ptr<const catalog::RouteCatalog> routes;
  /// The item that the routes were decoded from.
  schema::KeyValue routes_item;
  /// Set while the version in force is lost.
  absl::optional<LostConfig> lost_config;
  /// Lost version that nobody wrote again; 0 if there is none.
  uint64_t expired_version_order = 0;
  catalog::WorkerDirectory workers;
};

/// Applies the changes of one update of the copy, in order. Within an era, an
/// older configuration never replaces a newer one. After a return of the store
/// the version decides, until the store has the version in force or a later
/// one.
std::vector<StoreChange> ApplyItems(
    StoreState& state,
    const std::vector<schema::KeyValue>& changes,
    uint64_t era,
    absl::Time now);

/// Items in force that the store has lost.
std::vector<schema::KeyValue> LostItems(const StoreState& state);

/// Applies the lost items of another node: a later version of the configuration
/// than this node has comes into force.
std::vector<StoreChange> ApplyLostItems(
    StoreState& state,
    const std::vector<schema::KeyValue>& items,
    absl::Time now);

/// Gives up a lost version that nobody writes again, and puts the store's one
/// in force. Only time in which the copy is current counts.
std::vector<StoreChange> ExpireLostConfig(StoreState& state,
                                          bool is_copy_current,
                                          absl::Time now);

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_STORE_STATE_H_
