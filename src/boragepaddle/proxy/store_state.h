#ifndef BORAGEPADDLE_PROXY_STORE_STATE_H_
#define BORAGEPADDLE_PROXY_STORE_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
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

/// Decoded content of the store: the routes in force and the workers.
struct StoreState {
  StoreDialect dialect;
  /// Era of the store whose items were applied last.
  uint64_t era = 0;
  /// Null before the first configuration.
  std::shared_ptr<const catalog::RouteCatalog> routes;
  catalog::WorkerDirectory workers;
};

/// Applies the changes of one update of the copy, in order. Within an era, an
/// older configuration never replaces a newer one. The first update of a newer
/// era undoes nothing that is known of workers that leave or have ended.
std::vector<StoreChange> ApplyItems(
    StoreState& state,
    const std::vector<schema::KeyValue>& changes,
    uint64_t era,
    absl::Time now);

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_STORE_STATE_H_
