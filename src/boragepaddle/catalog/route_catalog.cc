#include "boragepaddle/catalog/route_catalog.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace boragepaddle::catalog {

namespace {

absl::string_view WithoutPort(absl::string_view host) {
  return host.substr(0, host.find(':'));
}

absl::string_view PathOf(absl::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

void IndexRoutes(RouteCatalog& catalog) {
  catalog.by_host.clear();
  for (size_t index = 0; index < catalog.routes.size(); ++index) {
    const std::string host =
        absl::AsciiStrToLower(WithoutPort(catalog.routes[index].host));
    catalog.by_host[host].push_back(index);
  }
  for (auto& [host, indices] : catalog.by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return catalog.routes[a].prefix.size() > catalog.routes[b].prefix.size();
    });
  }
}

const Route* FindRoute(const RouteCatalog& catalog,
                       absl::string_view host,
                       absl::string_view target) {
  const auto found =
      catalog.by_host.find(absl::AsciiStrToLower(WithoutPort(host)));
  if (found == catalog.by_host.end()) {
    return nullptr;
  }
  const absl::string_view path = PathOf(target);
  for (const size_t index : found->second) {
    const Route& route = catalog.routes[index];
    if (absl::StartsWith(path, route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const ClientAccount* FindAccount(const RouteCatalog& catalog,
                                 absl::string_view key) {
  const auto found = catalog.account_by_key.find(key);
  return found == catalog.account_by_key.end()
             ? nullptr
             : &catalog.accounts[found->second];
}

}  // namespace boragepaddle::catalog
