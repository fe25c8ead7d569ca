#ifndef BORAGEPADDLE_CONFIG_SERVICE_TABLE_H_
#define BORAGEPADDLE_CONFIG_SERVICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/config/membership.h"
#include "boragepaddle/schema/settings.h"

namespace boragepaddle::config {

/// Longest chain of calls, counted in operations from the root request.
inline constexpr uint32_t kMaxCallDepth = 8;

/// One operation with its rule and what follows from the call graph.
struct OperationEntry {
  schema::OperationRule rule;
  /// Position of its service in `ServiceTable::Services()`.
  size_t service = 0;
  /// Key path of the rule in the file of the service.
  std::string path;
  /// Positions of the callees in `ServiceTable::Operations()`.
  std::vector<size_t> callees;
  /// It or an operation below it is at-most-once.
  bool reaches_at_most_once = false;
  /// It and every operation below it are idempotent.
  bool idempotent_closure = false;
  /// Operations on the longest chain that starts here; 1 if it calls none.
  uint32_t depth = 1;
};

/// One service with its rule and its owner.
struct ServiceEntry {
  /// `operations` is empty; see `ServiceTable::FindOperation`.
  schema::ServiceRule rule;
  std::string member;
  std::string file;
  /// Key path of the rule in the file.
  std::string path;
  /// Positions of its operations in `ServiceTable::Operations()`.
  std::vector<size_t> operations;
};

/// Rules of an accepted folder. Immutable after construction, so it can be
/// read from several threads through `std::shared_ptr<const ServiceTable>`.
class ServiceTable {
 public:
  ServiceTable() = default;
  ServiceTable(Membership membership,
               std::vector<ServiceEntry> services,
               std::vector<OperationEntry> operations);

  /// Returns null if there is none. Takes constant time.
  const ServiceEntry* FindService(absl::string_view service) const;

  /// Returns null if there is none. Takes constant time.
  const OperationEntry* FindOperation(absl::string_view service,
                                      absl::string_view operation) const;

  /// Whether the call graph lets one operation call the other.
  bool MayCall(const OperationEntry& caller,
               const OperationEntry& callee) const;

  const Membership& GetMembership() const { return this->membership; }

  /// In the order of files and then as written in the file.
  absl::Span<const ServiceEntry> Services() const { return this->services; }
  absl::Span<const OperationEntry> Operations() const {
    return this->operations;
  }

  /// Service that the operation belongs to.
  const ServiceEntry& ServiceOf(const OperationEntry& operation) const {
    return this->services[operation.service];
  }

 private:
  struct ServiceIndex {
    size_t position = 0;
    absl::flat_hash_map<std::string, size_t> operations;
  };

  Membership membership;
  std::vector<ServiceEntry> services;
  std::vector<OperationEntry> operations;
  absl::flat_hash_map<std::string, ServiceIndex> index;
};

/// Returns `service.operation`.
std::string QualifiedName(const ServiceTable& table,
                          const OperationEntry& operation);

}  // namespace boragepaddle::config

#endif  // BORAGEPADDLE_CONFIG_SERVICE_TABLE_H_
