#ifndef BORAGEPADDLE_MEMBERSHIP_VM_LIST_H_
#define BORAGEPADDLE_MEMBERSHIP_VM_LIST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/membership/change_log.h"
#include "boragepaddle/membership/version_error.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::membership {

/// One version of the platform's VM list. Immutable, so that it can be shared
/// between threads.
struct VmList {
  uint64_t version = 0;
  uint64_t digest = 0;
  /// Sorted by id.
  std::vector<schema::VmEntry> vms;
  /// Indexes into `vms` by service.
  absl::flat_hash_map<std::string, std::vector<uint32_t>> by_service;
};

using VmListPtr = std::shared_ptr<const VmList>;

/// Sorts the VMs and computes the digest and the index by service. Fails if two
/// entries have the same id.
base::Result<VmListPtr, VersionError> MakeVmList(
    uint64_t version,
    std::vector<schema::VmEntry> vms);

/// Applies a delta to a list. The delta may start at or before the list's
/// version, but not after it. The result must have the delta's digest.
base::Result<VmListPtr, VersionError> ApplyDelta(
    const VmList& list,
    const schema::ListDelta& delta);

/// Ids of VMs that differ between two lists.
std::vector<std::string> ChangedIds(const VmList& from, const VmList& to);

/// Delta from a version to `list`; contains all VMs if the log does not reach
/// back to that version.
schema::ListDelta MakeDelta(const VmList& list,
                            const ChangeLog& log,
                            uint64_t from_version);

/// Returns the VM with this id; null if it is not in the list.
const schema::VmEntry* FindVm(const VmList& list, absl::string_view vm_id);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_VM_LIST_H_
