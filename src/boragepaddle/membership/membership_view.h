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

/// What a node said about itself in a Hello or Leaving message.
struct PeerReport {
  std::string vm_id;
  uint64_t incarnation = 0;
  bool leaving = false;
};

/// What is known about a VM besides its list entry.
struct VmStatus {
  /// Newest incarnation that spoke; 0 if none did.
  uint64_t incarnation = 0;
  /// The newest incarnation said that it is leaving.
  bool leaving = false;
  /// The incarnation that was known when the list began to say `leaving`; that
  /// statement of the list does not apply to a later incarnation.
  uint64_t list_leaving_incarnation = 0;
  bool list_leaving = false;
  /// Earlier incarnations and incarnations that left, oldest first; bounded.
  std::vector<uint64_t> ended_incarnations;
  absl::Time last_report = absl::InfinitePast();
};

/// The VM list and the statements of the nodes themselves.
struct MembershipView {
  VmListPtr list = std::make_shared<const VmList>();
  absl::flat_hash_map<std::string, VmStatus> statuses;
};

/// An upstream that may get work.
struct LiveUpstream {
  schema::VmEntry vm;
  /// 0 if the VM has not spoken yet.
  uint64_t incarnation = 0;
};

/// Takes over a newer list. A lower version, the same version, and the same
/// version with another digest are errors and change nothing.
base::Result<void, VersionError> ApplyList(MembershipView& view,
                                           const VmListPtr& list);

/// Takes over a statement. Returns false if it came from an incarnation that
/// was replaced or left before, and then changes nothing.
bool ApplyPeerReport(MembershipView& view,
                     const PeerReport& statement,
                     absl::Time now);

/// True if the VM, at its newest known incarnation, takes no new work.
bool IsLeaving(const MembershipView& view, absl::string_view vm_id);

/// VMs of a service that may get work, in the order of their ids.
std::vector<LiveUpstream> LiveUpstreams(const MembershipView& view,
                                        absl::string_view service);

/// Forgets statements of VMs that have not been listed for 10 minutes since
/// they last spoke.
void Prune(MembershipView& view, absl::Time now);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_MEMBERSHIP_VIEW_H_
