#include "boragepaddle/membership/membership_view.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace boragepaddle::membership {
namespace {

// A VM is rarely replaced more than a few times under one id while messages of
// its first incarnation are still under way.
constexpr size_t kMaxEndedIncarnations = 8;

// Longer than the lag of the list (30 s) and equal to the life of a ticket.
constexpr absl::Duration kReportRetention = absl::Minutes(10);

bool HasEnded(const VmStatus& status, uint64_t incarnation) {
  return std::find(status.ended_incarnations.begin(),
                   status.ended_incarnations.end(),
                   incarnation) != status.ended_incarnations.end();
}

void MarkEnded(VmStatus& status, uint64_t incarnation) {
  if (incarnation == 0 || HasEnded(status, incarnation)) {
    return;
  }
  if (status.ended_incarnations.size() == kMaxEndedIncarnations) {
    status.ended_incarnations.erase(status.ended_incarnations.begin());
  }
  status.ended_incarnations.push_back(incarnation);
}

void NoteListState(MembershipView& view, const schema::VmEntry& vm) {
  const bool leaving = vm.state == schema::VmState::kLeaving;
  const auto found = view.statuses.find(vm.vm_id);
  if (found == view.statuses.end() && !leaving) {
    return;
  }
  VmStatus& status = view.statuses[vm.vm_id];
  if (leaving && !status.list_leaving) {
    status.list_leaving_incarnation = status.incarnation;
  }
  status.list_leaving = leaving;
}

bool StatusIsLeaving(const VmStatus& status) {
  const bool list_applies =
      status.list_leaving &&
      status.list_leaving_incarnation == status.incarnation;
  return status.leaving || list_applies;
}

}  // namespace

base::Result<void, VersionError> ApplyList(MembershipView& view,
                                           const VmListPtr& list) {
  const VmList& held = *view.list;
  if (list->version < held.version) {
    return VersionError{VersionErrorCode::kOlderVersion, list->version};
  }
  if (list->version == held.version && held.version != 0) {
    const auto code = list->digest == held.digest
                          ? VersionErrorCode::kSameVersion
                          : VersionErrorCode::kDigestConflict;
    return VersionError{code, list->version, held.digest, list->digest};
  }
  view.list = list;
  for (const schema::VmEntry& vm : list->vms) {
    NoteListState(view, vm);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool ApplyPeerReport(MembershipView& view,
                     const PeerReport& statement,
                     absl::Time now) {
  VmStatus& status = view.statuses[statement.vm_id];
  if (statement.incarnation != status.incarnation &&
      HasEnded(status, statement.incarnation)) {
    return false;
  }
  status.last_report = now;
  if (statement.incarnation == status.incarnation) {
    // An incarnation that is leaving never takes work again.
    status.leaving = status.leaving || statement.leaving;
    return true;
  }
  if (statement.leaving && status.incarnation != 0) {
    // Which of the two incarnations is newer is unknown, but this one
    // ended_incarnations.
    MarkEnded(status, statement.incarnation);
    return true;
  }
  MarkEnded(status, status.incarnation);
  status.incarnation = statement.incarnation;
  status.leaving = statement.leaving;
  return true;
}

bool IsLeaving(const MembershipView& view, absl::string_view vm_id) {
  const auto found = view.statuses.find(vm_id);
  return found != view.statuses.end() && StatusIsLeaving(found->second);
}

std::vector<LiveUpstream> LiveUpstreams(const MembershipView& view,
                                        absl::string_view service) {
  std::vector<LiveUpstream> upstreams;
  const auto positions = view.list->by_service.find(service);
  if (positions == view.list->by_service.end()) {
    return upstreams;
  }
  for (const uint32_t position : positions->second) {
    const schema::VmEntry& vm = view.list->vms[position];
    const auto found = view.statuses.find(vm.vm_id);
    if (found == view.statuses.end()) {
      upstreams.push_back({vm, 0});
    } else if (!StatusIsLeaving(found->second)) {
      upstreams.push_back({vm, found->second.incarnation});
    }
  }
  return upstreams;
}

void Prune(MembershipView& view, absl::Time now) {
  absl::erase_if(view.statuses, [&](const auto& item) {
    return now - item.second.last_report > kReportRetention &&
           FindVm(*view.list, item.first) == nullptr;
  });
}

}  // namespace boragepaddle::membership
