#ifndef BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_
#define BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/catalog/route.h"

namespace boragepaddle::catalog {

/// Bounds on what a client may send.
struct ClientLimits {
  size_t max_header_bytes = 16u << 10;
  uint64_t max_body_bytes = 64u << 20;
  /// For a client to send a request's head.
  absl::Duration header_timeout = absl::Seconds(3);
  /// For a connection without a request.
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// What the configuration says of a service.
struct ServiceEntry {
  std::string name;
  uint32_t max_connections = 0;
};

/// One configuration of routes. Immutable once indexed.
struct RouteCatalog {
  /// Orders configurations; grows with each change.
  uint64_t revision = 0;
  /// Version as the operators name it.
  std::string version;
  std::vector<Route> routes;
  std::vector<ServiceEntry> services;
  ClientLimits limits;
  /// Routes of a host, longest prefix first, by lower-case host name.
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host;
};

/// Fills the index after the routes are complete.
void IndexRoutes(RouteCatalog& catalog);

/// Route with the longest prefix that begins the path; null if there is none.
/// The host may carry a port, and the path a query.
const Route* FindRoute(const RouteCatalog& catalog,
                       absl::string_view host,
                       absl::string_view target);

}  // namespace boragepaddle::catalog

#endif  // BORAGEPADDLE_CATALOG_ROUTE_CATALOG_H_
