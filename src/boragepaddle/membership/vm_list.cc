#include "boragepaddle/membership/vm_list.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "boragepaddle/membership/stable_hash.h"

namespace boragepaddle::membership {
namespace {

bool LessById(const schema::VmEntry& a, const schema::VmEntry& b) {
  return a.vm_id < b.vm_id;
}

bool SameId(const schema::VmEntry& a, const schema::VmEntry& b) {
  return a.vm_id == b.vm_id;
}

void BuildServiceIndex(VmList& list) {
  for (uint32_t index = 0; index < list.vms.size(); ++index) {
    list.by_service[list.vms[index].service].push_back(index);
  }
}

/// Entries of the list that the delta neither changes nor removes.
std::vector<schema::VmEntry> Unchanged(const VmList& list,
                                       const schema::ListDelta& delta) {
  absl::flat_hash_set<absl::string_view> replaced(delta.removed.begin(),
                                                  delta.removed.end());
  for (const schema::VmEntry& vm : delta.changed) {
    replaced.insert(vm.vm_id);
  }
  std::vector<schema::VmEntry> vms;
  vms.reserve(list.vms.size() + delta.changed.size());
  for (const schema::VmEntry& vm : list.vms) {
    if (!replaced.contains(vm.vm_id)) {
      vms.push_back(vm);
    }
  }
  return vms;
}

}  // namespace

base::Result<VmListPtr, VersionError> MakeVmList(
    uint64_t version,
    std::vector<schema::VmEntry> vms) {
  std::sort(vms.begin(), vms.end(), &LessById);
  if (std::adjacent_find(vms.begin(), vms.end(), &SameId) != vms.end()) {
    return VersionError{VersionErrorCode::kDuplicateEntry, version};
  }
  auto list = std::make_shared<VmList>();
  list->version = version;
  list->vms = std::move(vms);
  list->digest = DigestOf(absl::MakeConstSpan(list->vms));
  BuildServiceIndex(*list);
  return VmListPtr(std::move(list));
}

base::Result<VmListPtr, VersionError> ApplyDelta(
    const VmList& list,
    const schema::ListDelta& delta) {
  if (delta.from_version > list.version) {
    return VersionError{VersionErrorCode::kMissingBase, delta.to_version};
  }
  std::vector<schema::VmEntry> vms;
  if (delta.from_version != 0) {
    vms = Unchanged(list, delta);
  }
  vms.insert(vms.end(), delta.changed.begin(), delta.changed.end());
  auto made = MakeVmList(delta.to_version, std::move(vms));
  if (made.has_value() && made.value()->digest != delta.digest) {
    return VersionError{VersionErrorCode::kDigestMismatch, delta.to_version,
                        made.value()->digest, delta.digest};
  }
  return made;
}

std::vector<std::string> ChangedIds(const VmList& from, const VmList& to) {
  std::vector<std::string> ids;
  auto left = from.vms.begin();
  auto right = to.vms.begin();
  while (left != from.vms.end() || right != to.vms.end()) {
    const bool left_only = right == to.vms.end() ||
                           (left != from.vms.end() && LessById(*left, *right));
    const bool right_only =
        !left_only && (left == from.vms.end() || LessById(*right, *left));
    if (left_only || right_only || *left != *right) {
      ids.push_back(left_only ? left->vm_id : right->vm_id);
    }
    left += right_only ? 0 : 1;
    right += left_only ? 0 : 1;
  }
  return ids;
}

schema::ListDelta MakeDelta(const VmList& list,
                            const ChangeLog& log,
                            uint64_t from_version) {
  schema::ListDelta delta;
  delta.to_version = list.version;
  delta.digest = list.digest;
  const auto names =
      from_version == 0 ? std::nullopt : NamesSince(log, from_version);
  if (!names.has_value()) {
    delta.changed = list.vms;
    return delta;
  }
  delta.from_version = from_version;
  for (const std::string& name : *names) {
    const schema::VmEntry* vm = FindVm(list, name);
    if (vm != nullptr) {
      delta.changed.push_back(*vm);
    } else {
      delta.removed.push_back(name);
    }
  }
  return delta;
}

const schema::VmEntry* FindVm(const VmList& list, absl::string_view vm_id) {
  const auto found =
      std::lower_bound(list.vms.begin(), list.vms.end(), vm_id,
                       [](const schema::VmEntry& vm, absl::string_view id) {
                         return vm.vm_id < id;
                       });
  return found != list.vms.end() && found->vm_id == vm_id ? &*found : nullptr;
}

}  // namespace boragepaddle::membership
