#include "boragepaddle/limits/credit_placement.h"

#include <tuple>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::limits {

namespace {

bool Precedes(uint64_t score,
              absl::string_view host,
              uint64_t other_score,
              absl::string_view other) {
  return other.empty() || std::tie(score, host) > std::tie(other_score, other);
}

}  // namespace

void OnHostAdded(CreditPlacement& placement,
                 absl::string_view account,
                 absl::string_view host) {
  const uint64_t score = base::StableHash({"credit", account, host});
  if (Precedes(score, host, placement.owner_score, placement.owner)) {
    placement.deputy = std::move(placement.owner);
    placement.deputy_score = placement.owner_score;
    placement.owner = std::string(host);
    placement.owner_score = score;
  } else if (Precedes(score, host, placement.deputy_score, placement.deputy)) {
    placement.deputy = std::string(host);
    placement.deputy_score = score;
  }
}

CreditPlacement Place(absl::string_view account, const CreditHosts& hosts) {
  CreditPlacement placement;
  for (const auto& [host, zone] : hosts) {
    OnHostAdded(placement, account, host);
  }
  return placement;
}

}  // namespace boragepaddle::limits
