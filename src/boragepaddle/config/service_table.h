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

/// Maximum length of a chain of calls, in operations including the root.
inline constexpr uint32_t kMaxCallDepth = 8;

/// One operation, with its rule and the results of call graph analysis.
struct OperationEntry {
  schema::OperationRule rule;
  /// Index of its service in `ServiceTable::Services()`.
  size_t service = 0;
  /// Key path of the rule in the service's file.
  std::string path;
  /// Indexes of the callees in `ServiceTable::Operations()`.
  std::vector<size_t> callees;
  /// True if it, or an operation that it reaches, is at-most-once.
  bool reaches_at_most_once = false;
  /// True if it and all operations that it reaches are idempotent.
  bool idempotent_closure = false;
  /// Length of the longest chain of calls that starts here; 1 if it calls none.
  uint32_t depth = 1;
};

/// One service, with its rule and owner.
struct ServiceEntry {
  /// `operations` is always empty; see `ServiceTable::Operations()`.
  schema::ServiceRule rule;
  std::string member;
  std::string file;
  /// Key path of the rule in the file.
  std::string path;
  /// Indexes of its operations in `ServiceTable::Operations()`.
  std::vector<size_t> operations;
};

/// Rules of an accepted folder. Immutable after construction, so it can be
/// shared between threads as `std::shared_ptr<const ServiceTable>`.
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

  /// True if the caller declares the callee among its calls.
  bool MayCall(const OperationEntry& caller,
               const OperationEntry& callee) const;

  const Membership& GetMembership() const { return this->membership; }

  /// In file order, then in order of declaration.
  absl::Span<const ServiceEntry> Services() const { return this->services; }
  absl::Span<const OperationEntry> Operations() const {
    return this->operations;
  }

  /// Returns the service of the operation.
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
