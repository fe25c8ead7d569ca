#ifndef BORAGEPADDLE_ROUTING_PICK_H_
#define BORAGEPADDLE_ROUTING_PICK_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/routing/locality.h"
#include "boragepaddle/routing/route_table.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// Inputs of an upstream choice besides the route table.
struct PickQuery {
  schema::CallClass call_class = schema::CallClass::kStandard;
  /// VM ids that were already tried.
  absl::Span<const std::string> exclude;
  /// Consider only upstreams whose recent admission level admits the class.
  bool only_admitting = false;
  absl::Time now;
  uint64_t random = 0;
};

/// Result of an upstream choice.
struct Pick {
  /// Null if no upstream is available.
  const Upstream* upstream = nullptr;
  /// At least one upstream was skipped because its recent admission level
  /// refuses the class.
  bool refused = false;
};

/// Power of two choices: draws two upstreams and picks the better one by
/// attempts in flight, measured delay and failure rate. Nearer upstreams are
/// preferred unless they are much slower. Unresponsive upstreams and those in
/// back-off are a last resort.
Pick PickUpstream(const RouteTable& table,
                  const Locality& locality,
                  const PickQuery& query);

/// Round robin over the subset without load or health; a baseline for
/// comparisons.
const Upstream* PickRoundRobin(const RouteTable& table, uint64_t turn);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_PICK_H_
