#ifndef BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_
#define BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/store_position.h"
#include "boragepaddle/catalog/client_account.h"
#include "boragepaddle/catalog/route.h"

namespace boragepaddle::catalog {

/// Limits on client connections and requests.
struct ClientLimits {
  size_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  /// Time for a client to send the head of a request.
  absl::Duration header_timeout = absl::Seconds(3);
  /// Time after which a connection without a request is closed.
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// Configuration of a service.
struct ServiceEntry {
  std::string name;
  uint32_t max_connections = 0;
};

/// A version of the route configuration. Immutable once indexed.
struct RouteCatalog {
  /// Position of the store at which this configuration was written.
  base::StorePosition position;
  /// Version name given by the operators.
  std::string version;
  /// Orders the versions of the operators, also over eras of the store; 0 if
  /// the name has no order.
  uint64_t version_order = 0;
  std::vector<Route> routes;
  std::vector<ServiceEntry> services;
  ClientLimits limits;
  /// The configuration names client accounts, so requests need a key.
  bool requires_key = false;
  std::vector<ClientAccount> accounts;
  /// Indices of the accounts by key.
  absl::flat_hash_map<std::string, size_t> account_by_key;
  /// Indices of the routes of a host, longest prefix first, keyed by lower-case
  /// host name.
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host;
};

/// Builds the index; called once all routes have been added.
void IndexRoutes(RouteCatalog& catalog);

/// Returns the route with the longest prefix that matches the path; null if
/// there is none. The host may include a port, and the target a query.
const Route* FindRoute(const RouteCatalog& catalog,
                       absl::string_view host,
                       absl::string_view target);

/// Returns the account that holds the key; null if there is none.
const ClientAccount* FindAccount(const RouteCatalog& catalog,
                                 absl::string_view key);

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_
