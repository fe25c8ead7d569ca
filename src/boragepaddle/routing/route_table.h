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

/// A VM of the VM list.
struct ListedVm {
  schema::VmEntry vm;
  /// First list that named the VM; infinite past for the first list of all,
  /// whose VMs may have been running for long.
  absl::Time first_seen = absl::InfinitePast();
};

/// Upstreams of one service.
struct RouteTable {
  /// A list that names VMs of the service has been installed.
  bool installed = false;
  /// VMs of the service in the VM list.
  std::vector<ListedVm> listed;
  /// The chosen subset, and VMs that still have a leaving mark or attempts.
  std::vector<Upstream> upstreams;
  /// Mean time of completed attempts at all upstreams.
  absl::Duration typical_delay = absl::Milliseconds(1);
  /// Some upstream may be failing or leaving; saves visits by DueProbes.
  bool may_have_probes = false;
};

/// Installs the VMs of the service. What is known of those that stay is kept,
/// leaving marks above all.
void SetUpstreams(RouteTable& table,
                  const Locality& locality,
                  absl::Span<const schema::VmEntry> vms,
                  absl::Time now);

/// The upstream, or null.
const Upstream* FindUpstream(const RouteTable& table, absl::string_view vm_id);

/// The VM's entry in the list, or null. It need not be in the subset.
const schema::VmEntry* FindListed(const RouteTable& table,
                                  absl::string_view vm_id);

/// The process at the listed address named its incarnation.
void OnHello(RouteTable& table,
             const Locality& locality,
             const schema::Hello& hello,
             absl::Time now);

/// An incarnation said that it is leaving. Only a Hello of another
/// incarnation makes the VM an upstream again.
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

/// True if an upstream said recently that it admits the class.
bool AnyUpstreamAdmits(const RouteTable& table,
                       schema::CallClass call_class,
                       absl::Time now);

/// Records the end of an attempt without an answer.
void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now);

/// The connection was lost or could not be opened. Starts or lengthens the
/// back-off; further reports during a back-off do not lengthen it.
void OnConnectionLost(RouteTable& table,
                      absl::string_view vm_id,
                      absl::Time now,
                      uint64_t random);

/// An upstream to connect to in the background.
struct ProbeTarget {
  std::string vm_id;
  std::string peer_address;
};

/// Upstreams whose back-off is over, or that left and may have been replaced.
std::vector<ProbeTarget> DueProbes(RouteTable& table, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_
