#ifndef BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_
#define BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Where this node runs.
struct Locality {
  std::string availability_zone;
  std::string region;
};

/// What this node knows of one upstream.
struct Upstream {
  schema::VmEntry vm;
  uint32_t in_flight = 0;
  /// Until then the upstream is not tried after a lost connection.
  absl::Time avoid_until = absl::InfinitePast();
};

/// Upstreams of one service.
struct RouteTable {
  std::vector<Upstream> upstreams;
};

/// Replaces the upstreams by the VMs of the service and keeps what is known
/// of those that stay.
void SetUpstreams(RouteTable& table, absl::Span<const schema::VmEntry> vms);

/// Picks the better of two candidates, or null if there is none. Upstreams
/// named in `exclude` are not picked.
const Upstream* PickUpstream(const RouteTable& table,
                             const Locality& locality,
                             absl::Span<const std::string> exclude,
                             absl::Time now,
                             uint64_t random);

/// Records that an attempt was sent.
void OnSent(RouteTable& table, absl::string_view vm_id);

/// Records the end of an attempt with an answer.
void OnAnswer(RouteTable& table,
              absl::string_view vm_id,
              const schema::CallAnswer& answer,
              absl::Time now);

/// Records that the connection failed or no answer came.
void OnAttemptLost(RouteTable& table, absl::string_view vm_id, absl::Time now);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_ROUTE_TABLE_H_
