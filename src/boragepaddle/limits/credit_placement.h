#ifndef BORAGEPADDLE_LIMITS_CREDIT_PLACEMENT_H_
#define BORAGEPADDLE_LIMITS_CREDIT_PLACEMENT_H_

#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"

namespace boragepaddle::limits {

/// Availability zones by host (IP address).
using CreditHosts = absl::btree_map<std::string, std::string>;

/// The first two hosts of an account in the order of rendezvous hashing. Nodes
/// with equal lists choose equally, and a host that joins or leaves moves only
/// the accounts that it is first or second for.
struct CreditPlacement {
  /// Empty if no host is listed.
  std::string owner;
  /// Empty if fewer than two hosts are listed.
  std::string deputy;
  uint64_t owner_score = 0;
  uint64_t deputy_score = 0;
};

/// Chooses among all hosts.
CreditPlacement Place(absl::string_view account, const CreditHosts& hosts);

/// Takes a host into account that was added to the list.
void OnHostAdded(CreditPlacement& placement,
                 absl::string_view account,
                 absl::string_view host);

}  // namespace boragepaddle::limits

#endif  // BORAGEPADDLE_LIMITS_CREDIT_PLACEMENT_H_
