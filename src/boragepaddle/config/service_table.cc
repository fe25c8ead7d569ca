#include "boragepaddle/config/service_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::config {

ServiceTable::ServiceTable(Membership membership,
                           std::vector<ServiceEntry> services,
                           std::vector<OperationEntry> operations)
    : membership(std::move(membership)),
      services(std::move(services)),
      operations(std::move(operations)) {
  this->index.reserve(this->services.size());
  for (size_t position = 0; position < this->services.size(); ++position) {
    const ServiceEntry& service = this->services[position];
    ServiceIndex& entry = this->index[service.rule.name];
    entry.position = position;
    entry.operations.reserve(service.operations.size());
    for (const size_t operation : service.operations) {
      entry.operations[this->operations[operation].rule.name] = operation;
    }
  }
}

const ServiceEntry* ServiceTable::FindService(absl::string_view service) const {
  const auto found = this->index.find(service);
  return found == this->index.end() ? nullptr
                                    : &this->services[found->second.position];
}

const OperationEntry* ServiceTable::FindOperation(
    absl::string_view service,
    absl::string_view operation) const {
  const auto found = this->index.find(service);
  if (found == this->index.end()) {
    return nullptr;
  }
  const auto position = found->second.operations.find(operation);
  return position == found->second.operations.end()
             ? nullptr
             : &this->operations[position->second];
}

bool ServiceTable::MayCall(const OperationEntry& caller,
                           const OperationEntry& callee) const {
  const auto position = static_cast<size_t>(&callee - this->operations.data());
  return std::find(caller.callees.begin(), caller.callees.end(), position) !=
         caller.callees.end();
}

std::string QualifiedName(const ServiceTable& table,
                          const OperationEntry& operation) {
  return absl::StrCat(table.ServiceOf(operation).rule.name, ".",
                      operation.rule.name);
}

}  // namespace boragepaddle::config
