#include "boragepaddle/quarantine/witnesses.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::quarantine {

// Rendezvous hashing.
std::vector<std::string> ChooseWitnesses(absl::Span<const std::string> hosts,
                                         absl::string_view service,
                                         size_t count) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(hosts.size());
  for (const std::string& host : hosts) {
    ranked.emplace_back(base::StableHash({service, host}), host);
  }
  const size_t selected = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(selected),
                    ranked.end());
  std::vector<std::string> witnesses;
  for (size_t i = 0; i < selected; ++i) {
    witnesses.push_back(std::move(ranked[i].second));
  }
  return witnesses;
}

}  // namespace boragepaddle::quarantine
