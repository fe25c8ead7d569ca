#ifndef BORAGEPADDLE_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define BORAGEPADDLE_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/membership/version_error.h"
#include "boragepaddle/membership/vm_list.h"

namespace boragepaddle::membership {

/// State that a node reported about itself in a Hello or Leaving message.
struct PeerReport {
  std::string vm_id;
  uint64_t incarnation = 0;
  bool leaving = false;
};

/// What is known about a VM in addition to its list entry.
struct VmStatus {
  /// Latest incarnation that sent a report; 0 if there is none.
  uint64_t incarnation = 0;
  /// The latest incarnation reported that it is leaving.
  bool leaving = false;
  /// The latest incarnation at the time when the list changed to `leaving`.
  /// That list state does not apply to later incarnations.
  uint64_t list_leaving_incarnation = 0;
  bool list_leaving = false;
  /// Replaced incarnations and incarnations that left, oldest first; bounded.
  std::vector<uint64_t> ended_incarnations;
  absl::Time last_report = absl::InfinitePast();
};

/// The VM list combined with the nodes' reports about themselves.
struct MembershipView {
  VmListPtr list = std::make_shared<const VmList>();
  absl::flat_hash_map<std::string, VmStatus> statuses;
};

/// An upstream that may receive calls.
struct LiveUpstream {
  schema::VmEntry vm;
  /// 0 if the VM has not sent a report yet.
  uint64_t incarnation = 0;
};

/// Applies a newer list. An older version, the same version, and the same
/// version with a different digest are errors and change nothing.
base::Result<void, VersionError> ApplyList(MembershipView& view,
                                           const VmListPtr& list);

/// Applies a report. Returns false and changes nothing if it came from an
/// incarnation that was replaced or had left before.
bool ApplyPeerReport(MembershipView& view,
                     const PeerReport& report,
                     absl::Time now);

/// True if the latest known incarnation of the VM accepts no new work.
bool IsLeaving(const MembershipView& view, absl::string_view vm_id);

/// VMs of a service that may receive calls, sorted by id.
std::vector<LiveUpstream> LiveUpstreams(const MembershipView& view,
                                        absl::string_view service);

/// Removes the status of VMs that are not in the list and whose last report is
/// more than 10 minutes old.
void Prune(MembershipView& view, absl::Time now);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_MEMBERSHIP_VIEW_H_
