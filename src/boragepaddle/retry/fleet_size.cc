#include "boragepaddle/retry/fleet_size.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"

namespace boragepaddle::retry {

void OnDirectoryChanged(FleetSize& fleet,
                        const catalog::WorkerDirectory& directory,
                        absl::Time now) {
  absl::flat_hash_set<absl::string_view> listed;
  for (const auto& [instance, entry] : directory.entries) {
    listed.insert(entry.host);
    fleet.last_listed[entry.host] = absl::InfiniteFuture();
  }
  for (auto& [host, at] : fleet.last_listed) {
    if (!listed.contains(host)) {
      at = std::min(at, now);
    }
  }
  absl::erase_if(fleet.last_listed, [&](const auto& entry) {
    return now - entry.second > fleet.settings.retention;
  });
}

size_t CountNodes(const FleetSize& fleet) {
  return std::max<size_t>(1, fleet.last_listed.size());
}

}  // namespace boragepaddle::retry
