#ifndef BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_
#define BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/routing/locality.h"
#include "boragepaddle/routing/upstream.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// An entry of the VM list.
struct ListedVm {
  schema::VmEntry vm;
  /// When a list first named the VM. Infinite past for the VMs of the first
  /// list, which may have been running for long.
  absl::Time first_seen = absl::InfinitePast();
};

/// Routing state for the upstreams of one service.
struct RouteTable {
  /// True once a list with VMs of the service was installed.
  bool installed = false;
  /// VMs of the service in the VM list.
  std::vector<ListedVm> listed;
  /// The subset in use, and VMs outside it that still have a leaving mark or
  /// attempts in flight.
  std::vector<Upstream> upstreams;
  /// Mean time of completed attempts at all upstreams.
  absl::Duration typical_delay = absl::Milliseconds(1);
  /// An upstream may be failing or leaving; lets DueProbes skip the table
  /// otherwise.
  bool may_have_probes = false;
};

/// Installs the VM list of the service. The state of VMs that remain is kept,
/// in particular leaving marks.
void SetUpstreams(RouteTable& table,
                  const Locality& locality,
                  absl::Span<const schema::VmEntry> vms,
                  absl::Time now);

/// Returns the upstream, or null.
const Upstream* FindUpstream(const RouteTable& table, absl::string_view vm_id);

/// Returns the VM's entry in the list, or null. The VM need not be in the
/// subset.
const schema::VmEntry* FindListed(const RouteTable& table,
                                  absl::string_view vm_id);

/// Handles a Hello, in which the process at the listed address names its
/// incarnation.
void OnHello(RouteTable& table,
             const Locality& locality,
             const schema::Hello& hello,
             absl::Time now);

/// Marks an incarnation as leaving. Only a Hello of another incarnation makes
/// the VM eligible again.
void OnLeaving(RouteTable& table,
               const Locality& locality,
               absl::string_view vm_id,
               uint64_t incarnation,
               absl::Time now);

/// Records that an attempt was sent.
void OnSent(RouteTable& table, absl::string_view vm_id, absl::Time now);

/// Records the answer to an attempt that was sent at `sent_at`.
void OnAnswer(RouteTable& table,
              absl::string_view vm_id,
              schema::CallClass call_class,
              const schema::CallAnswer& answer,
              absl::Time sent_at,
              absl::Time now);

/// True if an upstream of the subset recently reported that it admits the
/// class.
bool AnyUpstreamAdmits(const RouteTable& table,
                       schema::CallClass call_class,
                       absl::Time now);

/// Records an attempt that ended without an answer.
void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now);

/// Handles a lost or refused connection: starts a back-off or lengthens the
/// next one. Further reports during a back-off are ignored.
void OnConnectionLost(RouteTable& table,
                      absl::string_view vm_id,
                      absl::Time now,
                      uint64_t random);

/// An upstream to probe by connecting in the background.
struct ProbeTarget {
  std::string vm_id;
  std::string peer_address;
};

/// Returns upstreams whose back-off has ended, and those that left and may have
/// been replaced.
std::vector<ProbeTarget> DueProbes(RouteTable& table, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_
